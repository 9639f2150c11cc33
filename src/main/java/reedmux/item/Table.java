package reedmux.item;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A set of items as it is used, read and checked as a whole: the one place that says what is valid. It is
 * never changed.
 */
public final class Table {
    private final Map<String, List<Route>> byHost = new HashMap<>();
    private final Map<String, Plant> plants = new HashMap<>();
    private final Map<String, Tenant> byKey = new HashMap<>();
    private final Map<String, Tenant> tenants = new HashMap<>();
    private Bounds bounds = Bounds.USUAL;

    private Table() { }

    /**
     * Reads items that stand together.
     *
     * @throws Invalid where one cannot be read, or two cannot stand beside each other
     */
    public static Table of(Collection<Item> items) throws Invalid {
        Table table = new Table();
        List<Route> routes = new ArrayList<>();
        for (Item item : items) {
            if (!item.dropped()) {
                table.read(item, routes);
            }
        }
        for (Route route : routes) {
            table.place(route);
        }
        table.byHost.values().forEach(all -> all.sort(
                (one, other) -> Integer.compare(other.prefix().length(), one.prefix().length())));
        return table;
    }

    private void read(Item item, List<Route> routes) throws Invalid {
        switch (item.kind()) {
            case "routes" -> routes.add(Route.of(item));
            case "plants" -> plants.put(item.name(), Plant.of(item));
            case "saturation" -> bounds = Bounds.of(item);
            case "tenants" -> {
                Tenant tenant = Tenant.of(item);
                tenants.put(tenant.name(), tenant);
                for (String key : tenant.keys()) {
                    Tenant other = byKey.put(key, tenant);
                    if (other != null && !other.name().equals(tenant.name())) {
                        throw new Invalid("tenants " + other.name() + " and " + tenant.name()
                                + " share a key");
                    }
                }
            }
            default -> throw new Invalid("no kind of item is called " + item.kind());
        }
    }

    private void place(Route route) throws Invalid {
        for (Route.Part part : route.parts()) {
            if (!plants.containsKey(part.plant())) {
                throw new Invalid("route " + route.name() + " names the service " + part.plant()
                        + ", which is not known");
            }
        }
        List<Route> beside = byHost.computeIfAbsent(route.host(), host -> new ArrayList<>());
        for (Route other : beside) {
            if (other.prefix().equals(route.prefix())) {
                throw new Invalid("routes " + other.name() + " and " + route.name()
                        + " have the same host and prefix");
            }
        }
        beside.add(route);
    }

    /** The route of a request, or null; {@code host} may have a port. */
    public Route route(String host, String path) {
        if (host == null) {
            return null;
        }
        int colon = host.lastIndexOf(':');
        String name = (colon > 0 && host.indexOf(']') < colon ? host.substring(0, colon) : host)
                .toLowerCase(Locale.ROOT);
        for (Route route : byHost.getOrDefault(name, List.of())) {
            if (path.startsWith(route.prefix())) {
                return route;
            }
        }
        return null;
    }

    public Collection<Plant> plants() {
        return plants.values();
    }

    public Plant plant(String name) {
        return plants.get(name);
    }

    public Tenant byKey(String key) {
        return byKey.get(key);
    }

    public Tenant tenant(String name) {
        return tenants.get(name);
    }

    /** Whether requests need a key. */
    public boolean keyed() {
        return !tenants.isEmpty();
    }

    public Bounds bounds() {
        return bounds;
    }
}
