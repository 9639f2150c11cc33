package reedmux.control.rpc;

/**
 * The ids of the message encodings. An id is the first byte of an encoded message, on the wire and on disk. An id is
 * never reused: a changed encoding gets a new id, because disks may contain messages written with the old one.
 */
final class MessageIds {
    static final byte HELLO = 0;
    static final byte KEEP_ALIVE = 1;
    static final byte CHANGES_REQUEST = 2;
    static final byte CONFIGURATION_CHANGE_REQUEST = 5;
    static final byte CONFIGURATION_READ_REQUEST = 6;
    static final byte OPERATOR_RESPONSE = 7;
    static final byte VOTE_RESPONSE = 9;
    static final byte INCARNATION_NOTICE = 11;
    static final byte INCARNATION_ACK = 12;
    static final byte QUOTA_UPDATE = 14;
    static final byte DECISION_NOTICE = 16;
    static final byte CONFIGURATION_UPDATE = 17;
    static final byte MEMBERSHIP_UPDATE = 18;
    static final byte REGISTRY_HEARTBEATS = 19;
    static final byte WATERMARK_UPDATE = 40;
    static final byte QUORUM_CONTACT_REQUEST = 41;
    static final byte QUORUM_CONTACT_RESPONSE = 42;
    static final byte CAUGHT_UP_NOTICE = 43;
    static final byte PROPOSE_REQUEST = 50;
    static final byte CORE_MEMBERSHIP_NOTICE = 51;
    static final byte CORE_STATE_RECORD = 52;
    static final byte EPOCH_MESSAGE = 53;
    static final byte STATE_TRANSFER_REQUEST = 54;
    static final byte STATE_TRANSFER_RESPONSE = 55;
    static final byte CORE_REMOVAL_REQUEST = 56;
    static final byte PROPOSAL_RECORD = 57;
    static final byte SNAPSHOT_CHUNK = 60;
    static final byte SNAPSHOT_CHUNK_REQUEST = 61;
    static final byte DIGEST_REQUEST = 62;
    static final byte DIGEST_MISMATCH = 63;
    static final byte STORE_STATUS_REQUEST = 70;

    // Encodings that occur only on disks written by earlier versions. They are decoded, but never written.

    /** A configuration update that does not include the pending proposals. */
    static final byte CONFIGURATION_UPDATE_WITHOUT_PROPOSALS = 3;
    /** A proposal record written before proposals had ballots. */
    static final byte PROPOSAL_RECORD_WITHOUT_BALLOT = 8;
    /** A decision written before proposals had ballots. */
    static final byte DECISION_NOTICE_WITHOUT_BALLOT = 10;
    /** A proposal record written before the precommit phase was introduced. */
    static final byte PROPOSAL_RECORD_WITHOUT_PRECOMMIT = 15;

    private MessageIds() {}
}
