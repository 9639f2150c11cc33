package reedmux.item;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A set of items as it is used, and the one place that says what is valid. What an item takes part in is kept
 * by host, plant and key, with a count of what does not stand, so that a change costs what it changes and not
 * what there is. For one thread.
 */
public final class Table {
    private final Map<String, List<Route>> byHost = new HashMap<>();
    private final Map<String, Route> routes = new HashMap<>();
    private final Map<String, Plant> plants = new HashMap<>();
    private final Map<String, Tenant> byKey = new HashMap<>();
    private final Map<String, Tenant> tenants = new HashMap<>();
    private Bounds bounds = Bounds.USUAL;
    /** Why an item cannot be read, by its key. */
    private final Map<String, String> unreadable = new TreeMap<>();
    /** The routes that name a plant. */
    private final Map<String, TreeSet<String>> naming = new HashMap<>();
    /** The tenants of keys that more than one has. */
    private final Map<String, TreeSet<String>> sharing = new HashMap<>();
    /** Plants that are named and not there. */
    private int missing;
    /** Routes beyond the first of one host and prefix. */
    private int alike;

    private String problem = "";

    /**
     * Reads items that stand together.
     *
     * @throws Invalid where one cannot be read, or two cannot stand beside each other
     */
    public static Table of(Collection<Item> items) throws Invalid {
        Table table = new Table();
        if (!table.take(items)) {
            throw new Invalid(table.problem);
        }
        return table;
    }

    // ---- Changes -----------------------------------------------------------------------------------
    /** Puts items in place of those of their names if all stand together then; else nothing changes. */
    boolean take(Collection<Item> items) {
        return put(items, true);
    }

    /** Whether all would stand together with these in place of those of their names. */
    boolean stands(Collection<Item> items) {
        return put(items, false);
    }

    private boolean put(Collection<Item> items, boolean stay) {
        List<Item> done = new ArrayList<>(items.size());
        List<Object> before = new ArrayList<>(items.size());
        for (Item item : items) {
            done.add(item);
            before.add(put(item));
        }
        boolean good = unreadable.isEmpty() && sharing.isEmpty() && missing == 0 && alike == 0;
        if (!good) {
            problem = why(items);
        }
        for (int i = done.size() - 1; i >= 0 && !(good && stay); i--) {
            swap(done.get(i), before.get(i));
        }
        return good;
    }

    /** Why the last items did not stand. */
    String problem() {
        return problem;
    }

    /** Puts an item in place of the one of its name, whether it stands or not; returns that one's reading. */
    Object put(Item item) {
        return swap(item, item.dropped() ? null : read(item));
    }

    /** As a part of this table, or why it cannot be read. */
    private static Object read(Item item) {
        try {
            return switch (item.kind()) {
                case "routes" -> Route.of(item);
                case "plants" -> Plant.of(item);
                case "saturation" -> Bounds.of(item);
                case "tenants" -> Tenant.of(item);
                default -> "no kind of item is called " + item.kind();
            };
        } catch (Invalid e) {
            return e.getMessage();
        }
    }

    private Object swap(Item name, Object reading) {
        Object before = unreadable.remove(name.key());
        if (before == null) {
            before = remove(name.kind(), name.name());
        }
        if (reading instanceof String why) {
            unreadable.put(name.key(), why);
        } else if (reading instanceof Route route) {
            add(route);
        } else if (reading instanceof Plant plant) {
            plants.put(plant.name(), plant);
            missing -= naming.containsKey(plant.name()) ? 1 : 0;
        } else if (reading instanceof Tenant tenant) {
            add(tenant);
        } else if (reading instanceof Bounds told) {
            bounds = told;
        }
        return before;
    }

    private Object remove(String kind, String name) {
        switch (kind) {
            case "routes" -> {
                Route route = routes.remove(name);
                if (route != null) {
                    remove(route);
                }
                return route;
            }
            case "plants" -> {
                Plant plant = plants.remove(name);
                missing += plant != null && naming.containsKey(name) ? 1 : 0;
                return plant;
            }
            case "tenants" -> {
                Tenant tenant = tenants.remove(name);
                if (tenant != null) {
                    remove(tenant);
                }
                return tenant;
            }
            case "saturation" -> {
                Bounds before = bounds;
                bounds = Bounds.USUAL;
                return before;
            }
            default -> {
                return null;
            }
        }
    }

    private void add(Route route) {
        routes.put(route.name(), route);
        for (Route.Part part : route.parts()) {
            TreeSet<String> names = naming.get(part.plant());
            if (names == null) {
                names = new TreeSet<>();
                naming.put(part.plant(), names);
                missing += plants.containsKey(part.plant()) ? 0 : 1;
            }
            names.add(route.name());
        }
        List<Route> beside = byHost.get(route.host());
        if (beside == null) {
            beside = new ArrayList<>(1);
            byHost.put(route.host(), beside);
        }
        int at = place(beside, route);
        alike += twin(beside, route, at) == null ? 0 : 1;
        beside.add(at, route);
    }

    private void remove(Route route) {
        for (Route.Part part : route.parts()) {
            TreeSet<String> names = naming.get(part.plant());
            if (names != null && names.remove(route.name()) && names.isEmpty()) {
                naming.remove(part.plant());
                missing -= plants.containsKey(part.plant()) ? 0 : 1;
            }
        }
        List<Route> beside = byHost.get(route.host());
        int at = place(beside, route);
        beside.remove(at);
        alike -= twin(beside, route, at) == null ? 0 : 1;
        if (beside.isEmpty()) {
            byHost.remove(route.host());
        }
    }

    /** Where a route is, or belongs, in its host: longer prefixes first, then by prefix and name. */
    private static int place(List<Route> beside, Route route) {
        int low = 0;
        int high = beside.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (order(beside.get(middle), route) < 0) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    private static int order(Route one, Route other) {
        if (one.prefix().length() != other.prefix().length()) {
            return Integer.compare(other.prefix().length(), one.prefix().length());
        }
        int byPrefix = one.prefix().compareTo(other.prefix());
        return byPrefix != 0 ? byPrefix : one.name().compareTo(other.name());
    }

    /** Another route of the same host and prefix, where {@code at} is the place of this one, or null. */
    private static Route twin(List<Route> beside, Route route, int at) {
        for (int i = at - 1; i <= at + 1; i++) {
            if (i >= 0
                    && i < beside.size()
                    && beside.get(i) != route
                    && beside.get(i).prefix().equals(route.prefix())) {
                return beside.get(i);
            }
        }
        return null;
    }

    private void add(Tenant tenant) {
        tenants.put(tenant.name(), tenant);
        for (String key : tenant.keys()) {
            Tenant other = byKey.putIfAbsent(key, tenant);
            if (other != null && other != tenant) {
                TreeSet<String> names = sharing.get(key);
                if (names == null) {
                    names = new TreeSet<>();
                    names.add(other.name());
                    sharing.put(key, names);
                }
                names.add(tenant.name());
            }
        }
    }

    private void remove(Tenant tenant) {
        for (String key : tenant.keys()) {
            TreeSet<String> names = sharing.get(key);
            if (names == null) {
                if (byKey.get(key) == tenant) {
                    byKey.remove(key);
                }
            } else {
                names.remove(tenant.name());
                byKey.put(key, tenants.get(names.first()));
                if (names.size() == 1) {
                    sharing.remove(key);
                }
            }
        }
    }

    /** What does not stand, by the first of some items that takes part in it. */
    private String why(Collection<Item> items) {
        for (Item item : items) {
            String why = unreadable.get(item.key());
            if (why != null) {
                return why;
            }
        }
        for (Item item : items) {
            String why =
                    switch (item.kind()) {
                        case "routes" -> why(routes.get(item.name()));
                        case "plants" ->
                            naming.containsKey(item.name()) && !plants.containsKey(item.name())
                                    ? unknown(naming.get(item.name()).first(), item.name())
                                    : null;
                        case "tenants" -> why(tenants.get(item.name()));
                        default -> null;
                    };
            if (why != null) {
                return why;
            }
        }
        return unreadable.isEmpty()
                ? "what is in force already does not stand together"
                : unreadable.values().iterator().next();
    }

    private String why(Route route) {
        if (route != null) {
            for (Route.Part part : route.parts()) {
                if (!plants.containsKey(part.plant())) {
                    return unknown(route.name(), part.plant());
                }
            }
            List<Route> beside = byHost.get(route.host());
            Route other = twin(beside, route, place(beside, route));
            if (other != null) {
                return "routes " + other.name() + " and " + route.name() + " have the same host and prefix";
            }
        }
        return null;
    }

    private static String unknown(String route, String plant) {
        return "route " + route + " names the service " + plant + ", which is not known";
    }

    private String why(Tenant tenant) {
        if (tenant != null) {
            for (String key : tenant.keys()) {
                if (sharing.containsKey(key)) {
                    return "tenants " + String.join(" and ", sharing.get(key)) + " share a key";
                }
            }
        }
        return null;
    }

    // ---- What is asked -------------------------------------------------------------------------------
    /** The route of a request, or null; {@code host} may have a port. */
    public Route route(String host, String path) {
        if (host == null) {
            return null;
        }
        int colon = host.lastIndexOf(':');
        String name =
                (colon > 0 && host.indexOf(']') < colon ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
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
