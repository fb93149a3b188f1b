# One node freezes for one second in every four, for a minute. A session may be migrated once at most. Players can
# migrate: they buffer one second of live media and four seconds of recorded media, and they record every gap.

include = "house.hcl"

day {
  seconds        = 90
  seed           = 13
  directors      = 3
  media_fraction = 0.01
}

site {
  kind "small" {
    places = 45
  }
  kind "large" {
    places = 60
  }
  class "report" {
    seats = 60
  }
  class "room" {
    live = true
  }
  link {
    kb_per_weight = 40000
    fleet_kb      = 600000
    uplink_kb     = 320000
  }
  moves {}
}

fleet {
  link_kb    = 40000
  link_stray = 0.1
  uplink_kb  = 320000
}

load {
  shortest_s = 20
  longest_s  = 50
  skew       = 0.3
  come_again = 0.9
  pause_ms   = 400
  follow     = 1
}

trouble "still 01" {
  kind  = "hang"
  at_s  = 20
  len_s = 1
  on    = [4]
}

trouble "still 02" {
  kind  = "hang"
  at_s  = 24
  len_s = 1
  on    = [4]
}

trouble "still 03" {
  kind  = "hang"
  at_s  = 28
  len_s = 1
  on    = [4]
}

trouble "still 04" {
  kind  = "hang"
  at_s  = 32
  len_s = 1
  on    = [4]
}

trouble "still 05" {
  kind  = "hang"
  at_s  = 36
  len_s = 1
  on    = [4]
}

trouble "still 06" {
  kind  = "hang"
  at_s  = 40
  len_s = 1
  on    = [4]
}

trouble "still 07" {
  kind  = "hang"
  at_s  = 44
  len_s = 1
  on    = [4]
}

trouble "still 08" {
  kind  = "hang"
  at_s  = 48
  len_s = 1
  on    = [4]
}

trouble "still 09" {
  kind  = "hang"
  at_s  = 52
  len_s = 1
  on    = [4]
}

trouble "still 10" {
  kind  = "hang"
  at_s  = 56
  len_s = 1
  on    = [4]
}

trouble "still 11" {
  kind  = "hang"
  at_s  = 60
  len_s = 1
  on    = [4]
}

trouble "still 12" {
  kind  = "hang"
  at_s  = 64
  len_s = 1
  on    = [4]
}

trouble "still 13" {
  kind  = "hang"
  at_s  = 68
  len_s = 1
  on    = [4]
}

trouble "still 14" {
  kind  = "hang"
  at_s  = 72
  len_s = 1
  on    = [4]
}

trouble "still 15" {
  kind  = "hang"
  at_s  = 76
  len_s = 1
  on    = [4]
}
