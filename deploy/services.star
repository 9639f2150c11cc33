# An example of further services in one gatekeeper, beside the platform's own, which is "default".
# Not used on the platform's line; try it with: java -jar target/reedmux.jar check-config --settings deploy/services.star

service(
    name = "default",
    weight = 2,
)

service(
    name = "print",
    discovery = "127.0.0.1:7201",
    most_in_flight = 100,
)

service(
    name = "archive",
    discovery = "127.0.0.1:7202",
    weight = 0.5,
)

route(host = "print.example.org", service = "print")
route(host = "archive.example.org", service = "archive")
route(host = "*.retired.example.org", service = None)
