"""Small stand-ins for the platform, engines and services; not the product."""
