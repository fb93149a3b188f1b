# A bad day of 45 s for three directors and fifteen nodes: nodes crash, freeze and are preempted in waves, the endpoint
# list is unreachable, one director freezes, another is killed, and the arrival rate doubles for a while.

day {
  seconds        = 45
  seed           = 11
  directors      = 3
  media_fraction = 0.01
}

site {
  zones = ["north", "garden", "east"]

  kind "small" { places = 30 }
  kind "large" { places = 45 }

  class "report" {
    paid       = true
    aim_ms     = 1500
    give_up_ms = 4000
    worth      = 2
    seats      = 12
    floor      = 1
  }
  class "room" {
    paid       = false
    aim_ms     = 1000
    give_up_ms = 4000
    worth      = 1
    live       = true
  }

  ladder = [
    { kb = 190, worth = 0.24 },
    { kb = 350, worth = 0.46 },
    { kb = 640, worth = 0.65 },
    { kb = 1160, worth = 0.83 },
    { kb = 2110, worth = 1 },
  ]

  layout {
    cells = 15
    racks = 2
  }
  link {
    kb_per_weight     = 10000
    weights_tell_size = true
    fleet_kb          = 150000
    uplink_kb         = 55000
  }
  notes {
    every_ms = 3000
    late_ms  = 1000
  }
  costs {
    stall    = 7
    switch_s = 0.7
    cross    = 0.01
    probe    = 0.01
  }
  rules {
    drain_within_ms = 250
    answer_slack_ms = 150
    warm_after_ms   = 8000
    start_capacity  = 0.4
    overload_factor = 2
    fall_ms         = 2000
    further {
      free        = 3
      per_request = 0.3
      span_ms     = 10000
    }
  }
  limits {
    max_attempts     = 4
    may_cancel       = true
    may_probe        = true
    max_come_back_ms = 1000
    step_ms          = 20
  }

  title "playroom-1" {
    home   = 0
    spread = 5
  }
  title "playroom-2" {
    home   = 5
    spread = 4
  }
  title "garden" {
    home   = 9
    spread = 4
  }
  title "monday" {
    home   = 2
    spread = 5
  }
  title "tuesday" {
    home   = 7
    spread = 5
  }
  title "summer" {
    home   = 12
    spread = 5
  }
}

fleet {
  nodes        = 15
  link_kb      = 10000
  link_stray   = 0.2
  rate_stray   = 0.15
  uplink_kb    = 55000
  set_up_ms    = 60
  refresh_ms   = 300
  noise        = 0.05
  list_late_ms = 1500
}

load {
  per_s      = 9
  mix        = { report = 0.4, room = 0.6 }
  shortest_s = 5
  longest_s  = 18
  weak       = 0.3
  skew       = 0.6
  come_again = 0.9
  pause_ms   = 900
}

trouble "two boxes die" {
  kind  = "crash"
  at_s  = 6
  len_s = 8
  part  = 0.15
}

trouble "two boxes stand still" {
  kind  = "hang"
  at_s  = 12
  len_s = 7
  part  = 0.15
}

trouble "boxes are taken away" {
  kind      = "preempt"
  at_s      = 20
  len_s     = 8
  part      = 0.25
  waves     = 2
  notice_ms = 1500
}

trouble "no list" {
  kind  = "list_out"
  at_s  = 16
  len_s = 6
}

trouble "pickup" {
  kind  = "burst"
  at_s  = 24
  len_s = 8
  size  = 2
}

trouble "one director stands still" {
  kind     = "director_stall"
  at_s     = 10
  len_s    = 6
  part     = 0.34
  stall_ms = 1500
}

trouble "one director is killed" {
  kind  = "director_kill"
  at_s  = 30
  len_s = 4
  part  = 0.34
}

trouble "another program" {
  kind  = "neighbour"
  at_s  = 33
  len_s = 8
  part  = 0.3
  size  = 0.5
}
