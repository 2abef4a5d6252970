package org.boragebarrow.http.server;

import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

class ConnectionTableTest {
    private static final int MAX_CONNECTIONS = 2;

    private final ConnectionTable table = ConnectionTable.keepingIdle();

    private EmbeddedChannel open() {
        EmbeddedChannel connection = new EmbeddedChannel();
        assertThat(table.add(connection, MAX_CONNECTIONS)).isTrue();
        return connection;
    }

    private EmbeddedChannel openIdle(boolean succeeded) {
        EmbeddedChannel connection = open();
        table.onRequest(connection);
        table.onIdle(connection, succeeded);
        return connection;
    }

    private static boolean isClosed(EmbeddedChannel connection) {
        connection.runPendingTasks();
        return !connection.isOpen();
    }

    @Example
    void connectionsThatAreIdleAfterASuccessKeepTheirPlaces() {
        openIdle(true);
        openIdle(true);

        assertThat(table.hasRoom(MAX_CONNECTIONS)).isFalse();
        assertThat(table.add(new EmbeddedChannel(), MAX_CONNECTIONS)).isFalse();
    }

    @Example
    void aConnectionWhoseLastRequestWasRefusedGivesUpItsPlace() {
        EmbeddedChannel refused = openIdle(false);
        EmbeddedChannel served = openIdle(true);
        assertThat(table.hasRoom(MAX_CONNECTIONS)).isTrue();
        open();

        assertThat(isClosed(refused)).isTrue();
        assertThat(isClosed(served)).isFalse();
    }

    @Example
    void aSuccessDoesNotEarnAPlaceForGood() {
        EmbeddedChannel connection = openIdle(true);
        openIdle(true);
        table.onRequest(connection);
        table.onIdle(connection, false);
        open();

        assertThat(isClosed(connection)).isTrue();
    }

    @Example
    void aConnectionKeepsItsPlaceWhileItsRequestIsInProgress() {
        EmbeddedChannel busy = openIdle(false);
        table.onRequest(busy);
        EmbeddedChannel waiting = open();
        open();

        assertThat(isClosed(busy)).isFalse();
        assertThat(isClosed(waiting)).isTrue();
    }
}
