# An example of the operators' own settings: region east, with region west as its last resort.
# Not used on the platform's line; try it with: java -jar target/reedmux.jar check-config --settings deploy/east.star

def gateways(net, count, port = 7100):
    """Addresses of a region's gatekeepers, as the link reaches them."""
    return ["127.0.%d.%d:%d" % (net, i + 1, port) for i in range(count)]

region(
    name = "east",
    listen = "127.0.1.1:7100",
    takes_from = ["west"],
    visitors = visitors(most_at_once = 16, rate = 20, burst = 40, suffers_at = 0.02, hold = "1s"),
)

last_resort(
    region = "west",
    gateways = gateways(2, count = 2),
    budget = budget(share = 0.2, rate = 20, burst = 40),
    most_at_once = 16,
    least_time = "100ms",
    margin = "20ms",
)
