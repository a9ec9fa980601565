"""Stand-ins for the review's cases: platform, servers, clients, programs."""
