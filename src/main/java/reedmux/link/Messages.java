package reedmux.link;

import java.util.ArrayList;
import java.util.List;
import reedmux.fleet.Fleet;
import reedmux.fleet.Incarnation;
import reedmux.item.Agreement.Vote;
import reedmux.item.Ballot;
import reedmux.item.Item;
import reedmux.item.Mark;
import reedmux.item.Members;
import reedmux.item.Membership;
import reedmux.item.Proposal;
import reedmux.member.Differences;

/** What the system's own processes tell each other. */
public final class Messages {
    /** The form of the messages; who speaks another one is turned away. */
    public static final int FORM = 4;

    private Messages() {}

    /** The first message each way: who speaks, and which machines it knows to serve control. */
    public record Hello(int form, String program, String node, String ip, String zone, long life, List<String> core) {
        public Hello {
            core = new ArrayList<>(core);
        }
    }

    /** Nothing but that the sender lives. */
    public record Ping() {}

    /**
     * Asks for what has changed in that life of the asked one since that change; answered once there is any.
     */
    public record Pull(long life, long since) {}

    /**
     * Items that are in force at a store; {@code whole}: it has all that was ever acknowledged; {@code held}:
     * for another store, what is not decided on.
     */
    public record Items(long life, long upTo, boolean whole, List<Item> items, List<Proposal> held) {
        public Items {
            items = new ArrayList<>(items);
            held = new ArrayList<>(held);
        }
    }

    /**
     * What has changed at a registry: lives of checkers, and sessions: its own for another registry, the view
     * for a proxy; for another registry also which process each checker calls.
     */
    public record News(long life, long upTo, List<Incarnation> lives, List<Fleet.Owned> owned, Differences sessions) {
        public News {
            lives = new ArrayList<>(lives);
            owned = new ArrayList<>(owned);
        }
    }

    /** A call of the operator that changes items, handed to a store. */
    public record Adjust(long id, String body) {}

    /** The operator asks for all items. */
    public record Read(long id) {}

    /**
     * The operator asks a store what it knows, and as of when: of one thing, so many entries behind a name;
     * answered as an {@link Outcome} in JSON, also where it knows little.
     */
    public record Show(long id, String what, String after, int limit) {}

    /** What the operator is to be answered. */
    public record Outcome(long id, int status, String body) {}

    /** Asks another store to hold a call's items. */
    public record Propose(Proposal proposal) {}

    /** What became of that at one store. */
    public record Voted(String call, Ballot ballot, Vote vote) {}

    /** A call's items are in force, or are to be dropped unless a higher ballot has gone before. */
    public record Decided(String call, Ballot ballot, boolean inForce, List<Item> items) {
        public Decided {
            items = new ArrayList<>(items);
        }
    }

    /** A proposal on its way, with the epoch of the core that its sender counts votes by. */
    public record Ask(long epoch, Proposal proposal) {}

    /**
     * The core as a store knows it; null where it does not. {@code ready}: the store has everything and would
     * join; {@code fenced}: a change is half done there.
     */
    public record CoreTold(Members core, boolean ready, boolean fenced) {}

    /** What a store keeps of the core on its disk. */
    public record CoreKept(Membership.State state) {}

    /** Asks a fenced store for all that it has since that change of its life. */
    public record Fetch(long epoch, long life, long since) {}

    /**
     * The answer; {@code deciders}: for each call that is held there, whose attempts it has had a vote
     * in.
     */
    public record Fetched(long epoch, Items items, List<List<String>> deciders) {}

    /** The operator orders a member out of the core. */
    public record Leave(long id, String node) {}

    /** Lives that another process is to know of; it says when it does. */
    public record Tell(long id, List<Incarnation> lives) {
        public Tell {
            lives = new ArrayList<>(lives);
        }
    }

    /** Acknowledges the incarnations of one {@link Tell}. */
    public record Known(long id) {}

    /** How far registries have been heard to count, each second while it lives; proxies pass it on. */
    public record Contacts(List<Fleet.Contact> heard) {
        public Contacts {
            heard = new ArrayList<>(heard);
        }
    }

    /** Revisions that were taken and overtaken, from store to store, ahead of the items; and on disk. */
    public record Marks(List<Mark> marks) {
        public Marks {
            marks = new ArrayList<>(marks);
        }
    }

    /**
     * A store asks another one, over the link on which it pulls, whether they are in touch;
     * {@code settled}: the answer is to wait until what is held now is decided on.
     */
    public record Confirm(long epoch, long id, boolean settled) {}

    /** The answer, by a store that counts itself, behind all that is in force there. */
    public record Confirmed(long id) {}

    /** To a proxy: a quorum was in touch since it began to pull, and what was in force then has been told. */
    public record Current() {}

    /** Items of which more is to come; {@code upTo} is below nought where they are as of no change. */
    public record Piece(long life, long upTo, List<Item> items) {
        public Piece {
            items = new ArrayList<>(items);
        }
    }

    /** Asks for the next piece, as what came since that change is not taken in yet. */
    public record Resume(long life, long since) {}

    /**
     * In place of a {@link Pull} where the other's life is not the one that we know: the digests of all that
     * is here, by ranges of keys; of the coarse ranges, or of the fine ones in {@code ranges}.
     */
    public record Compare(List<Integer> ranges, List<Long> digests) {
        public Compare {
            ranges = new ArrayList<>(ranges);
            digests = new ArrayList<>(digests);
        }
    }

    /** The coarse ranges whose digests are others. */
    public record Differ(List<Integer> ranges) {
        public Differ {
            ranges = new ArrayList<>(ranges);
        }
    }
}
