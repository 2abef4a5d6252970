package org.boragebarrow.node.watch;

import java.util.Collection;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import org.boragebarrow.decision.placement.SizedHost;
import org.boragebarrow.model.HostId;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.wire.TableMessages;

/** The tables that hosts of a zone follow for one another. Confined to the event loop. */
public final class TableSharing {
    private final ImmutableMap<String, SharedTable> tables;

    /** Creates the sharing of the tables. */
    public TableSharing(Collection<SharedTable> tables) {
        this.tables = Maps.uniqueIndex(tables, SharedTable::name);
    }

    /** Sets the hosts of this host's zone. */
    public void setHosts(Collection<SizedHost> hosts) {
        tables.values().forEach(table -> table.setHosts(hosts));
    }

    /**
     * Takes another host's message; returns whether it was about a table.
     *
     * @throws IllegalArgumentException if the message has a value that is not allowed
     */
    public boolean receive(HostId host, Envelope message) {
        return switch (message.getBodyCase()) {
            case FOLLOW_TABLE -> {
                TableMessages.Question question = TableMessages.fromFollow(message.getFollowTable());
                find(question.table()).onQuestion(host, question);
                yield true;
            }
            case TABLE_CHANGES -> {
                TableMessages.Answer answer = TableMessages.fromChanges(message.getTableChanges());
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
