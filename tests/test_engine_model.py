"""Tests of the engine model behind the stand-in worker of the tests and benches."""

from standins.enginemodel import EngineModel, EngineSpec, Job, Link

SPEC = EngineSpec(
    n_slots=4, n_memory_tokens=1_000, n_chunk_tokens=100, step_seconds=0.01
)


def new_job(name: str, n_prompt: int = 100, n_output: int = 10, **more) -> Job:
    return Job(attempt_id=name, n_prompt=n_prompt, n_output=n_output, **more)


def run_to_end(model: EngineModel, n_max_steps: int = 1_000) -> list[str]:
    """Step until the engine is idle; returns the finished attempts, in order."""
    finished = []
    for _ in range(n_max_steps):
        if model.is_idle:
            return finished
        finished += [job.attempt_id for job in model.step().decoded if job.is_done]
    raise AssertionError("the engine never becomes idle")


class TestPrefill:
    def test_prompt_is_read_in_chunks_before_the_first_token(self):
        model = EngineModel(spec=SPEC)
        model.submit(new_job("a", n_prompt=250))
        n_decoded = [len(model.step().decoded) for _ in range(4)]
        assert n_decoded == [0, 0, 0, 1]

    def test_prefill_lengthens_the_step_of_the_batch(self):
        model = EngineModel(spec=SPEC)
        model.submit(new_job("a", n_prompt=100, n_output=50))
        model.step()
        decode_seconds = model.step().seconds
        model.submit(new_job("b", n_prompt=300))
        step = model.step()
        assert [job.attempt_id for job in step.decoded] == ["a"]
        assert step.seconds > (
            decode_seconds + 100 / SPEC.prefill_tokens_per_second - 1e-9
        )

    def test_cached_parts_are_read_again_only_after_a_missing_one(self):
        model = EngineModel(spec=SPEC)
        parts = (("1", 60), ("2", 40))
        model.submit(new_job("a", parts=parts))
        run_to_end(model)
        n_read = model.totals.n_read
        model.submit(new_job("b", parts=parts))
        run_to_end(model)
        assert model.totals.n_read - n_read == 1
        model.submit(new_job("c", parts=(("3", 60), ("2", 40))))
        run_to_end(model)
        assert model.totals.n_read - n_read == 101


class TestMemory:
    def test_newest_of_the_least_urgent_is_preempted_without_token_loss(self):
        model = EngineModel(spec=SPEC)
        for name, priority in (("old", 5), ("new", 5), ("urgent", 1)):
            model.submit(new_job(name, n_prompt=250, n_output=100, priority=priority))
        finished = run_to_end(model)
        assert sorted(finished) == ["new", "old", "urgent"]
        assert finished[-1] == "new"
        assert model.totals.n_preempted >= 1

    def test_copy_takes_memory(self):
        model = EngineModel(spec=SPEC)
        model.copies["x"] = 700
        assert not model.can_hold_copy(400)
        assert model.can_hold_copy(300)

    def test_request_that_can_never_fit_is_refused(self):
        assert not EngineModel(spec=SPEC).submit(new_job("a", n_prompt=995))

    def test_request_from_a_copy_is_admitted_first(self):
        model = EngineModel(spec=SPEC)
        for number in range(4):
            model.submit(new_job(f"r{number}", n_output=20))
        model.submit(new_job("late", n_output=20, priority=0))
        model.submit(new_job("moved", n_output=20, is_from_copy=True))
        finished = run_to_end(model)
        assert finished.index("moved") < finished.index("r0")

    def test_tokens_that_a_copy_lacks_are_read_before_prompts(self):
        model = EngineModel(spec=SPEC)
        model.submit(new_job("prompt", n_prompt=400, n_output=5))
        model.step()
        model.submit(new_job("moved", n_prefill=30, is_from_copy=True))
        model.step()
        assert [job.attempt_id for job in model.step().decoded] == ["moved"]

    def test_run_moved_after_its_last_token_generates_no_more(self):
        # A run can be moved when all its tokens are generated but its end isn't sent.
        # A further token from the other engine would make the caller's answer wrong.
        model = EngineModel(spec=SPEC)
        model.submit(new_job("a", n_output=10, n_generated=10, is_from_copy=True))
        decoded = model.step().decoded
        assert [(job.n_generated, job.is_done) for job in decoded] == [(10, True)]
        assert model.is_idle


class TestLink:
    def test_copies_queue_on_the_links_of_both_engines(self):
        first, second, third = Link(), Link(), Link()
        assert Link.book(first, second, 1.0, 0.5, now=10.0) == 10.5
        assert Link.book(third, second, 1.0, 0.5, now=10.0) == 11.0
        assert Link.book(first, third, 1.0, 0.5, now=10.0) == 11.5
