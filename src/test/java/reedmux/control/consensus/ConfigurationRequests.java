package reedmux.control.consensus;

/** Builds the operator's change requests as JSON. */
final class ConfigurationRequests {
    /** A change that adds the service to which all routes refer. */
    static final String SERVICE = change(service("desk", 1));

    private ConfigurationRequests() {}

    static String item(String kind, String name, int revision, String body) {
        return "{\"signalKind\":\"" + kind + "\",\"heading\":{\"name\":\"" + name + "\",\"revision\":" + revision
                + "},\"reference\":" + body + '}';
    }

    static String service(String name, int revision) {
        return item("plants", name, revision, "{\"probe\":\"/health\",\"connCeiling\":9}");
    }

    static String route(String name, int revision, String host) {
        String body = """
                {"host":"%s","prefix":"/a/","kind":"effectful","cutoffMs":1000,"setpointMs":100,"priority":1,
                 "plant":"desk","attempts":1}""";
        return item("routes", name, revision, String.format(body, host));
    }

    static String change(String... items) {
        return "{\"apply\":{\"signals\":[" + String.join(",", items) + "]},\"remove\":{}}";
    }

    static String removeRoute(String name, int revision) {
        return "{\"remove\":{\"routes\":[{\"name\":\"" + name + "\",\"revision\":" + revision + "}]}}";
    }
}
