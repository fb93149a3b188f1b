# A fleet that starts empty and gets 3 new sessions a second of 60 to 120 s, without faults and without retries. Up to
# their highest allowed utilization, the uplinks carry all of them at about 380 kB a second each.

include = "house.hcl"

day {
  seconds        = 100
  seed           = 5
  directors      = 3
  media_fraction = 0.01
}

site {
  class "room" {
    live = true
  }
}

load {
  per_s      = 3
  shortest_s = 60
  longest_s  = 120
}
