"""Program drivers and journal writers: the protocol at run time."""
