from hypothesis import settings

# Seeded and without deadlines, so that CI gives the same verdict every time.
settings.register_profile("ci", derandomize=True, deadline=None, max_examples=100)
settings.load_profile("ci")
