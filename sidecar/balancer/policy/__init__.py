"""The decisions of the balancer, one responsibility a module; pure, with no sockets and no wall clock."""
