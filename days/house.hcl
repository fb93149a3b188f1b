# Base settings for other days: classes, ladder, layout, rules, titles, fifteen nodes and the load. A day file that
# includes this one states only the differences.

site {
  zones = ["north", "garden", "east"]
  ladder = [
    { kb = 190, worth = 0.24 },
    { kb = 350, worth = 0.46 },
    { kb = 640, worth = 0.65 },
    { kb = 1160, worth = 0.83 },
    { kb = 2110, worth = 1 },
  ]
  kind "small" {
    places = 30
  }
  kind "large" {
    places = 45
  }
  class "report" {
    paid       = true
    aim_ms     = 1500
    give_up_ms = 4000
    worth      = 2
    floor      = 1
  }
  class "room" {
    paid       = false
    aim_ms     = 1000
    give_up_ms = 4000
    worth      = 1
  }
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
    warm_after_ms   = 4000
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
  per_s      = 7
  mix        = { report = 0.4, room = 0.6 }
  shortest_s = 2
  longest_s  = 7
  weak       = 0.3
  skew       = 0.6
}
