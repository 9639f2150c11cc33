package reedmux.member;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reedmux.fleet.Counter;
import reedmux.fleet.Recent;

/**
 * Sessions by node, each with the number of its last change, so that who knows an earlier state is told what
 * differs. Of those that have ended the latest are kept; who knows only what was before is told the whole.
 */
final class Numbered {
    private static final int MOST_ENDED = 2048;
    private final Counter counter;
    private final Map<String, Recent.Node<Place>> places = new HashMap<>();
    private final Recent<Place> recent = new Recent<>();
    private final Recent<Place> ends = new Recent<>();
    private int ended;
    private long floor;

    /** A node, and its session if it has one. */
    private static final class Place {
        private final String node;
        private final Recent.Node<Place> end = new Recent.Node<>(this);
        private Session session;

        private Place(String node) {
            this.node = node;
        }
    }

    Numbered(Counter counter) {
        this.counter = counter;
    }

    /** Returns whether that is news. */
    boolean begin(Session session) {
        Recent.Node<Place> place = places.get(session.node());
        if (place == null) {
            place = new Recent.Node<>(new Place(session.node()));
            places.put(session.node(), place);
        } else if (session.equals(place.thing().session)) {
            return false;
        } else if (place.thing().session == null) {
            ended--;
            ends.remove(place.thing().end);
        }
        place.thing().session = session;
        recent.changed(place, counter.next());
        return true;
    }

    boolean end(String node) {
        Recent.Node<Place> place = places.get(node);
        if (place == null || place.thing().session == null) {
            return false;
        }
        place.thing().session = null;
        recent.changed(place, counter.next());
        ends.changed(place.thing().end, counter.last());
        if (++ended > MOST_ENDED) {
            Recent.Node<Place> oldest = ends.oldest();
            floor = oldest.change();
            ended--;
            ends.remove(oldest);
            recent.remove(places.remove(oldest.thing().node));
        }
        return true;
    }

    Session get(String node) {
        Recent.Node<Place> place = places.get(node);
        return place == null ? null : place.thing().session;
    }

    /** What has changed since; the whole for who knows nothing, {@code change < 0}. */
    Differences since(long change) {
        boolean whole = change < floor;
        List<Session> begun = new ArrayList<>();
        List<String> gone = new ArrayList<>();
        Recent.Node<Place> at = recent.firstSince(whole ? -1 : change);
        for (; at != null; at = recent.after(at)) {
            if (at.thing().session != null) {
                begun.add(at.thing().session);
            } else if (!whole) {
                gone.add(at.thing().node);
            }
        }
        return new Differences(whole, begun, gone);
    }
}
