"""Decisions for the seconds in which demand exceeds what there is: room, machines or writes."""
