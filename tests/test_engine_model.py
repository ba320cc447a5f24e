"""The model of an engine that the project's own bench and tests drive."""

from standins.enginemodel import EngineModel, EngineSpec, Job, Link

SPEC = EngineSpec(
    n_slots=4, n_memory_tokens=1_000, n_chunk_tokens=100, step_seconds=0.01
)


def job(name: str, n_prompt: int = 100, n_output: int = 10, **more) -> Job:
    return Job(attempt_id=name, n_prompt=n_prompt, n_output=n_output, **more)


def run_to_end(model: EngineModel, n_most: int = 1_000) -> list[str]:
    """Step until nothing is left; returns who ended, in order."""
    ended = []
    for _ in range(n_most):
        if model.is_idle:
            return ended
        ended += [done.attempt_id for done in model.step().made if done.is_done]
    raise AssertionError("never ends")


class TestReading:
    def test_a_prompt_is_read_in_chunks_before_the_first_token(self):
        model = EngineModel(spec=SPEC)
        model.submit(job("a", n_prompt=250))
        n_made = [len(model.step().made) for _ in range(4)]
        assert n_made == [0, 0, 0, 1]

    def test_a_step_that_reads_takes_longer_for_all(self):
        model = EngineModel(spec=SPEC)
        model.submit(job("a", n_prompt=100, n_output=50))
        model.step()
        plain = model.step().seconds
        model.submit(job("b", n_prompt=300))
        reading = model.step()
        assert [one.attempt_id for one in reading.made] == ["a"]
        assert reading.seconds > plain + 100 / SPEC.read_rate - 1e-9

    def test_kept_parts_are_not_read_again_unless_one_before_them_is_missing(self):
        model = EngineModel(spec=SPEC)
        parts = (("1", 60), ("2", 40))
        model.submit(job("a", parts=parts))
        run_to_end(model)
        n_read = model.totals.n_read
        model.submit(job("b", parts=parts))
        run_to_end(model)
        assert model.totals.n_read - n_read == 1
        model.submit(job("c", parts=(("3", 60), ("2", 40))))
        run_to_end(model)
        assert model.totals.n_read - n_read == 101


class TestMemory:
    def test_the_newest_of_the_least_urgent_is_preempted_and_loses_no_token(self):
        model = EngineModel(spec=SPEC)
        for name, priority in (("old", 5), ("new", 5), ("urgent", 1)):
            model.submit(job(name, n_prompt=250, n_output=100, priority=priority))
        ended = run_to_end(model)
        assert sorted(ended) == ["new", "old", "urgent"]
        assert ended[-1] == "new"
        assert model.totals.n_preempted >= 1

    def test_a_copy_takes_memory_and_a_slot(self):
        model = EngineModel(spec=SPEC)
        model.copies["x"] = 700
        assert not model.has_room_for(400)
        assert model.has_room_for(300)

    def test_what_never_fits_is_refused(self):
        assert not EngineModel(spec=SPEC).submit(job("a", n_prompt=995))

    def test_one_that_goes_on_from_a_copy_is_let_in_first(self):
        model = EngineModel(spec=SPEC)
        for number in range(4):
            model.submit(job(f"r{number}", n_output=20))
        model.submit(job("late", n_output=20, priority=0))
        model.submit(job("moved", n_output=20, is_copy=True))
        ended = run_to_end(model)
        assert ended.index("moved") < ended.index("r0")

    def test_what_a_copy_lacks_is_read_before_whole_prompts(self):
        model = EngineModel(spec=SPEC)
        model.submit(job("prompt", n_prompt=400, n_output=5))
        model.step()
        model.submit(job("moved", n_unread=30, is_copy=True))
        model.step()
        assert [one.attempt_id for one in model.step().made] == ["moved"]

    def test_a_run_moved_after_its_last_token_makes_no_more(self):
        # A run is moved as it ends: all its tokens are made, only its end was not sent.
        # A token more at the other engine would reach its caller as a wrong answer.
        model = EngineModel(spec=SPEC)
        model.submit(job("a", n_output=10, n_made=10, is_copy=True))
        made = model.step().made
        assert [(one.n_made, one.is_done) for one in made] == [(10, True)]
        assert model.is_idle


class TestLink:
    def test_copies_queue_on_both_links(self):
        one, two, three = Link(), Link(), Link()
        assert Link.take(one, two, 1.0, 0.5, now=10.0) == 10.5
        assert Link.take(three, two, 1.0, 0.5, now=10.0) == 11.0
        assert Link.take(one, three, 1.0, 0.5, now=10.0) == 11.5
