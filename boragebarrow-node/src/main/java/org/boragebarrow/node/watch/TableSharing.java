package org.boragebarrow.node.watch;

import java.util.Collection;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import org.boragebarrow.decision.placement.SizedHost;
import org.boragebarrow.model.HostId;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.wire.TableMessages;

/**
 * The tables whose changes the hosts of a zone send to one another.
 *
 * <p>Confined to the event loop.
 */
public final class TableSharing {
    private final ImmutableMap<String, SharedTable> tables;

    public TableSharing(Collection<SharedTable> tables) {
        this.tables = Maps.uniqueIndex(tables, SharedTable::name);
    }

    /** Sets the hosts of this host's zone. */
    public void setHosts(Collection<SizedHost> hosts) {
        tables.values().forEach(table -> table.setHosts(hosts));
    }

    /**
     * Handles a message of another host; returns whether it was about a table.
     *
     * @throws IllegalArgumentException if the message has an invalid value or names a table that is not shared
     */
    public boolean receive(HostId host, Envelope message) {
        return switch (message.getBodyCase()) {
            case FOLLOW_TABLE -> {
                TableMessages.ChangesRequest request = TableMessages.fromRequest(message.getFollowTable());
                find(request.table()).onRequest(host, request);
                yield true;
            }
            case TABLE_CHANGES -> {
                TableMessages.Answer answer = TableMessages.fromAnswer(message.getTableChanges());
                find(answer.table()).onAnswer(host, answer);
                yield true;
            }
            default -> false;
        };
    }

    private SharedTable find(String name) {
        SharedTable table = tables.get(name);
        if (table == null) {
            throw new IllegalArgumentException("table \"" + name + "\" is not shared");
        }
        return table;
    }
}
