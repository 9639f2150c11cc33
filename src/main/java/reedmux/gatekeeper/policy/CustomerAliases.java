package reedmux.gatekeeper.policy;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import reedmux.gatekeeper.policy.PeerPacket.AccountEntry;

/**
 * The short numbers (aliases) that stand for customers in packets between a gateway and one peer, in both directions.
 * All aliases are discarded when the peer starts a new incarnation. Only the latest {@link #MAX_ALIASES} are valid, on
 * both sides by the same rule: many customers send one request and never return, and unlimited aliases would exhaust
 * the memory.
 */
final class CustomerAliases {
    /** Maximum number of customers that have an alias at a time, on each side. */
    static final int MAX_ALIASES = 1024;

    private final Map<Long, Integer> ownAliases = new LinkedHashMap<>();
    /** For each alias whose announcement is not acknowledged yet, the latest packet that announced it. */
    private final Map<Integer, Long> announcedInPacket = new HashMap<>();

    private final NavigableMap<Integer, AccountEntry> peerAliases = new TreeMap<>();
    private int nextAlias;

    void clear() {
        nextAlias = 0;
        ownAliases.clear();
        announcedInPacket.clear();
        peerAliases.clear();
    }

    /** Returns the number of retained entries, for both directions. */
    int size() {
        return ownAliases.size() + announcedInPacket.size() + peerAliases.size();
    }

    /** Handles the acknowledgement of a packet: the aliases that it announced may be sent without the customer. */
    void onAcknowledged(long number) {
        announcedInPacket.values().removeIf(announced -> announced == number);
    }

    boolean isUnacknowledged(int alias) {
        return announcedInPacket.containsKey(alias);
    }

    /** Returns the peer's entry with its customer, or null if its alias is unknown here. */
    AccountEntry resolve(AccountEntry entry) {
        if (entry.plan() >= 0) {
            peerAliases.put(entry.alias(), entry);
            peerAliases.headMap(peerAliases.lastKey() - MAX_ALIASES, true).clear();
            return entry;
        }
        AccountEntry known = peerAliases.get(entry.alias());
        return known == null
                ? null
                : new AccountEntry(
                        entry.alias(),
                        known.customer(),
                        known.plan(),
                        known.firstMember(),
                        known.memberCount(),
                        entry.delta(),
                        entry.count(),
                        entry.inFlight(),
                        entry.grant());
    }

    /**
     * Returns the alias of an entry's customer. Packet {@code number} announces it unless the peer has acknowledged it
     * already.
     */
    int aliasOf(AccountEntry entry, long number) {
        Integer known = ownAliases.get(entry.customer());
        int alias = known != null ? known : nextAlias++;
        if (known == null) {
            ownAliases.put(entry.customer(), alias);
            if (ownAliases.size() > MAX_ALIASES) {
                long oldest = ownAliases.keySet().iterator().next();
                announcedInPacket.remove(ownAliases.remove(oldest));
            }
        }
        if (known == null || announcedInPacket.containsKey(alias)) {
            announcedInPacket.put(alias, number);
        }
        return alias;
    }
}
