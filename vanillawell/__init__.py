"""Fleet capacity and maintenance manager: entry daemon and operators' command line."""
