package org.boragebarrow.node.relay;

import java.util.Locale;

import org.boragebarrow.http.client.UnexpectedBytes;
import org.boragebarrow.node.metrics.HostMetrics;

import static com.google.common.base.Preconditions.checkNotNull;

/** Logs and counts bytes that targets send and that belong to no request. Thread-safe. */
final class UnexpectedBytesLog implements UnexpectedBytes.Listener {
    private final DecisionLog log;
    private final HostMetrics metrics;

    UnexpectedBytesLog(DecisionLog log, HostMetrics metrics) {
        this.log = checkNotNull(log);
        this.metrics = checkNotNull(metrics);
    }

    @Override
    public void onUnexpectedBytes(UnexpectedBytes unexpected) {
        metrics.unexpectedBytes();
        log.write(
                RelayEvent.UNEXPECTED_BYTES,
                "at",
                unexpected.endpoint(),
                "connection",
                unexpected.connection(),
                "uses",
                unexpected.uses(),
                "state",
                unexpected.state().name().toLowerCase(Locale.ROOT),
                "bytes",
                unexpected.bytes(),
                "start",
                unexpected.start());
    }
}
