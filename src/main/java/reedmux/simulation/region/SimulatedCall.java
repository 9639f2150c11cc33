package reedmux.simulation.region;

import reedmux.gatekeeper.reducer.CallResult;
import reedmux.gatekeeper.reducer.CallResult.CallStage;
import reedmux.gatekeeper.reducer.ReducerEvent;
import reedmux.gatekeeper.reducer.UpstreamCall;

/** One call in flight, to a provider or to a gateway of another region. */
final class SimulatedCall {
    final RunningGatekeeper caller;
    final UpstreamCall call;
    boolean sent;
    boolean ended;
    /** Run when the calling side closes the connection: the other side sees it end. */
    Runnable onLocalClose = () -> {};

    SimulatedCall(RunningGatekeeper caller, UpstreamCall call) {
        this.caller = caller;
        this.call = call;
        caller.calls.add(this);
    }

    void end(CallResult result) {
        if (!ended) {
            ended = true;
            caller.calls.remove(this);
            if (call.forwardedRequest() == null) {
                caller.recordCallEnd(
                        call,
                        result instanceof CallResult.ResponseReceived answer
                                ? answer.neverRan() && (answer.status() == 503 || answer.status() == 504)
                                : !sent);
            }
            caller.reduce(new ReducerEvent.CallEnded(call, result));
        }
    }

    void broken(String reason) {
        end(new CallResult.ConnectionBroken(sent ? CallStage.AWAITING_RESPONSE : CallStage.WRITING, reason));
    }

    /** The calling process has died: its reducer is notified of nothing. */
    void abandon() {
        ended = true;
        caller.calls.remove(this);
        onLocalClose.run();
    }
}
