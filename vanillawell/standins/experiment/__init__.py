"""Compare scheduling decisions on simulated days, without processes or network."""
