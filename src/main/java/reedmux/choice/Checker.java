package reedmux.choice;

import java.net.InetSocketAddress;
import reedmux.config.Addresses;
import reedmux.fleet.Incarnation;

/** One life of a checker, as a proxy has come to know it from its own traffic. */
public final class Checker {
    private static final double MEMORY = 0.15;
    private static final long FIRST_PAUSE = 250_000;
    private static final long MOST_PAUSE = 3_000_000;
    private static final double SLOWEST = 6;
    private static final double FASTEST = 0.2;
    private Incarnation life;
    private final InetSocketAddress address;
    private long coldUntil;
    private int inFlight;
    private double pace = 1;
    private int failures;
    private long avoidUntil;
    private long answeredAt = Long.MIN_VALUE / 2;
    private long waitsSince;
    /** The part of its slots that is ours to fill. */
    private double part;

    private boolean guest;

    Checker(Incarnation life, long now) {
        address = Addresses.parse(life.address());
        told(life, now);
    }

    void told(Incarnation next, long now) {
        life = next;
        coldUntil = now + next.coldMs() * 1000;
    }

    public String id() {
        return life.id();
    }

    public Incarnation life() {
        return life;
    }

    public InetSocketAddress address() {
        return address;
    }

    public int inFlight() {
        return inFlight;
    }

    void part(double next, boolean isGuest) {
        part = next;
        guest = isGuest;
    }

    /** Whether we may have one request there without a part. */
    boolean guest() {
        return guest;
    }

    double part() {
        return part;
    }

    double pace(long now) {
        return now < coldUntil ? 2 * pace : pace;
    }

    /** A request goes out to it. */
    public void begun(long now) {
        if (inFlight++ == 0) {
            waitsSince = now;
        }
    }

    /** A request there has ended in whatever way. */
    public void ended(long now) {
        inFlight--;
        waitsSince = now;
    }

    /** It has answered, in so many times the usual time. */
    public void answered(long now, double times) {
        answeredAt = now;
        failures = 0;
        avoidUntil = 0;
        if (times > 0) {
            pace += MEMORY * (Math.max(FASTEST, Math.min(SLOWEST, times)) - pace);
        }
    }

    /** It could not be reached, or broke off. */
    public void failed(long now) {
        failures++;
        avoidUntil = now + Math.min(MOST_PAUSE, FIRST_PAUSE << Math.min(8, failures - 1));
    }

    /** It has said that it is full. */
    public void full(long now) {
        answeredAt = now;
        avoidUntil = Math.max(avoidUntil, now + FIRST_PAUSE / 5);
    }

    /** The address is another's now. */
    public void gone() {
        life = new Incarnation(
                life.id(),
                life.plant(),
                life.address(),
                life.zone(),
                life.capacity(),
                Incarnation.GONE,
                life.seq(),
                0,
                life.silent());
    }

    /** Whether it is better left alone: it fails, or is asked and says nothing. */
    boolean doubtful(long now, long patience) {
        return now < avoidUntil
                || inFlight > 0 && now - Math.max(answeredAt, waitsSince) > patience
                || life.silent() && now - answeredAt > 3_000_000;
    }

    boolean takes() {
        return life.phase() == Incarnation.READY;
    }
}
