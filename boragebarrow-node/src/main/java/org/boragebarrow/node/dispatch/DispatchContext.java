package org.boragebarrow.node.dispatch;

import java.time.Duration;
import java.util.function.Supplier;

import com.google.common.base.Ticker;
import io.netty.channel.EventLoopGroup;
import org.boragebarrow.model.Configuration;
import org.boragebarrow.node.member.Members;
import org.boragebarrow.node.metrics.HostMetrics;
import org.boragebarrow.node.target.TargetDirectory;
import org.boragebarrow.peer.link.PeerSender;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The collaborators and settings that one host's dispatcher and grant broker share.
 *
 * @param timers runs delayed tasks
 * @param grantTimeout the time to wait for a dispatcher's acknowledgement or decision
 */
public record DispatchContext(
        Members members,
        PeerSender peers,
        TargetDirectory directory,
        Supplier<Configuration> configuration,
        HostMetrics metrics,
        Ticker ticker,
        EventLoopGroup timers,
        Duration grantTimeout) {
    public DispatchContext {
        checkNotNull(members);
        checkNotNull(peers);
        checkNotNull(directory);
        checkNotNull(configuration);
        checkNotNull(metrics);
        checkNotNull(ticker);
        checkNotNull(timers);
        checkNotNull(grantTimeout);
    }
}
