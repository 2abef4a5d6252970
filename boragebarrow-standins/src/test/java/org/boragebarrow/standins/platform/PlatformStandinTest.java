package org.boragebarrow.standins.platform;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import org.boragebarrow.http.client.HttpAnswer;
import org.boragebarrow.http.client.HttpCall;
import org.boragebarrow.http.client.HttpCallException;
import org.boragebarrow.http.client.HttpClient;
import org.boragebarrow.http.platform.HostListMessages.ListingMessage;
import org.boragebarrow.http.platform.HttpHostList;
import org.boragebarrow.http.platform.HttpObjectStore;
import org.boragebarrow.http.platform.HttpTableService;
import org.boragebarrow.http.platform.HttpWeightStore;
import org.boragebarrow.http.platform.PlatformJson;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.port.HostList.EntryHost;
import org.boragebarrow.port.HostList.Listing;
import org.boragebarrow.port.TableService.CommitResult;
import org.boragebarrow.port.TableService.Committed;
import org.boragebarrow.port.TableService.Condition;
import org.boragebarrow.port.TableService.Conflict;
import org.boragebarrow.port.TableService.Row;
import org.boragebarrow.port.TableService.TableUnavailableException;
import org.boragebarrow.port.TableService.Unavailable;
import org.boragebarrow.port.TableService.Unknown;
import org.boragebarrow.port.TableService.Write;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

class PlatformStandinTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(50);
    private static final Endpoint ANY_PORT = Endpoint.of("127.0.0.1", 0);
    private static final Listing HOSTS = new Listing(
            ImmutableList.of(new EntryHost(HostId.of("h1"), AvailabilityZoneId.of("a"), ANY_PORT, false)),
            ImmutableList.of());

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(group);
    private final PlatformStandin standin =
            PlatformStandin.start(group, new PlatformSettings(ANY_PORT, HOSTS, Duration.ZERO, 3, 11));
    private final Endpoint endpoint = standin.endpoint();
    private final HttpTableService table = new HttpTableService(client, endpoint, TIMEOUT);
    private final HttpObjectStore objects = new HttpObjectStore(client, endpoint, TIMEOUT);

    @AfterProperty
    void stop() {
        standin.close();
        client.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Example
    void theSecondInsertOfAKeyConflicts() {
        assertThat(insert(table)).isEqualTo(new Committed());
        assertThat(insert(table)).isEqualTo(new Conflict());
    }

    @Example
    void committedRowsAreReadBack() {
        insert(table);
        Row row = table.get("k/1").join().orElseThrow();
        assertThat(row.value()).isEqualTo("v");
        assertThat(table.scan("k/", 10).join()).containsExactly(row);
        assertThat(table.get("k/2").join()).isEqualTo(Optional.empty());
    }

    @Example
    void aDeletionRemovesTheRow() {
        insert(table);
        table.commit(ImmutableList.of(), ImmutableList.of(Write.delete("k/1"))).join();
        assertThat(exists()).isFalse();
    }

    @Example
    void aRejectedCommitIsUnavailable() {
        setFaults(new PlatformFaults(false, 1, 0, 0, 0, 0, 0, 0));
        assertThat(insert(table)).isEqualTo(new Unavailable());
    }

    @Example
    void aCommitWithoutAConnectionIsUnavailable() {
        standin.close();
        assertThat(insert(table)).isEqualTo(new Unavailable());
    }

    @Example
    void aCommitLostBeforeItsEffectIsUnknown() {
        setFaults(new PlatformFaults(false, 0, 1, 0, 0, 0, 0, 0));
        assertThat(insert(table)).isEqualTo(new Unknown());
        assertThat(exists()).isFalse();
    }

    @Example
    void aCommitLostAfterItsEffectIsUnknown() {
        setFaults(new PlatformFaults(false, 0, 0, 1, 0, 0, 0, 0));
        assertThat(insert(table)).isEqualTo(new Unknown());
        assertThat(exists()).isTrue();
    }

    @Example
    void aCommitDelayedPastTheTimeoutIsUnknownAndTakesEffectLater() throws InterruptedException {
        setFaults(new PlatformFaults(false, 0, 0, 0, 1, 400, 0, 0));
        assertThat(insert(new HttpTableService(client, endpoint, SHORT_TIMEOUT)))
                .isEqualTo(new Unknown());
        while (!exists()) {
            Thread.sleep(10);
        }
    }

    @Example
    void readsOfAnUnavailableTableFail() {
        setFaults(new PlatformFaults(true, 0, 0, 0, 0, 0, 0, 0));
        assertThat(failure(table.get("k"))).isInstanceOf(TableUnavailableException.class);
        assertThat(failure(table.scan("k", 1))).isInstanceOf(TableUnavailableException.class);
    }

    @Example
    void faultsOfOneComponentDoNotAffectTheOthers() {
        post("/faults/objects", PlatformJson.write(new PlatformFaults(true, 0, 0, 0, 0, 0, 0, 0)));
        assertThat(insert(table)).isEqualTo(new Committed());
        assertThat(failure(objects.put("a", new byte[0]))).isInstanceOf(HttpCallException.class);
    }

    @Example
    void reportedCommitResultsMatchTheStoredRows() {
        setFaults(new PlatformFaults(false, 0.2, 0.2, 0.2, 0, 0, 0, 0));
        for (int i = 0; i < 100; i++) {
            String key = "n/" + i;
            CommitResult result = insert(table, key);
            boolean exists = table.get(key).join().isPresent();
            assertThat(result).isNotEqualTo(new Conflict());
            assertThat(result.equals(new Unknown()) || exists == result.equals(new Committed()))
                    .isTrue();
        }
    }

    @Example
    void staleReadsLagAtMostByTheConfiguredCommits() {
        insert(table);
        long version = table.get("k/1").join().orElseThrow().version();
        setFaults(new PlatformFaults(false, 0, 0, 0, 0, 0, 0, 1));
        boolean missed = false;
        for (int i = 0; i < 30; i++) {
            Optional<Row> row = table.get("k/1").join();
            missed |= row.isEmpty();
            assertThat(row.map(Row::version).orElse(version)).isEqualTo(version);
        }
        assertThat(missed).isTrue();
    }

    @Example
    void objectsWithAnyKeyAreStoredAndDeleted() {
        String key = "a/b c%2F?";
        objects.put(key, "body".getBytes(UTF_8)).join();
        assertThat(objects.get(key).join().map(bytes -> new String(bytes, UTF_8)))
                .isEqualTo(Optional.of("body"));
        objects.delete(key).join();
        assertThat(objects.get(key).join().isPresent()).isFalse();
    }

    @Example
    void editsOfTheHostListAreListed() {
        HttpHostList hosts = new HttpHostList(client, endpoint, TIMEOUT);
        assertThat(hosts.list().join()).isEqualTo(HOSTS);
        post("/hosts/h1/leaving", new byte[0]);
        assertThat(hosts.list().join().entryHosts().get(0).leaving()).isTrue();
        Listing empty = new Listing(ImmutableList.of(), ImmutableList.of());
        call(HttpCall.of("PUT", "/hosts").withBody(ByteBuffer.wrap(PlatformJson.write(ListingMessage.of(empty)))));
        assertThat(hosts.list().join()).isEqualTo(empty);
    }

    @Example
    void aLoadReducesTheRemainingLoads() {
        post("/weights/loads", new byte[0]);
        assertThat(new HttpWeightStore(client, endpoint, TIMEOUT)
                        .remainingLoads()
                        .join())
                .isEqualTo(2);
    }

    @Example
    void callsAreCountedForEachComponent() {
        insert(table);
        table.get("k/1").join();
        table.scan("", 1).join();
        HttpAnswer answer = call(HttpCall.of("GET", "/counters"));
        assertThat(PlatformJson.read(answer.body(), CountersAnswer.class).table())
                .isEqualTo(new CountersAnswer.Counts(2, 1));
    }

    @Example
    void aMalformedRequestIsRejected() {
        HttpCall call = HttpCall.of("POST", "/table/commit").withBody(ByteBuffer.wrap("{}".getBytes(UTF_8)));
        assertThat(client.exchange(endpoint, call, TIMEOUT).join().status()).isEqualTo(400);
    }

    private boolean exists() {
        return table.get("k/1").join().isPresent();
    }

    private void setFaults(PlatformFaults faults) {
        post("/faults", PlatformJson.write(faults));
    }

    private void post(String path, byte[] body) {
        call(HttpCall.of("POST", path).withBody(ByteBuffer.wrap(body)));
    }

    private HttpAnswer call(HttpCall call) {
        HttpAnswer answer = client.exchange(endpoint, call, TIMEOUT).join();
        assertThat(answer.status()).isEqualTo(200);
        return answer;
    }

    private static CommitResult insert(HttpTableService table) {
        return insert(table, "k/1");
    }

    private static CommitResult insert(HttpTableService table, String key) {
        return table.commit(ImmutableList.of(Condition.absent(key)), ImmutableList.of(Write.put(key, "v")))
                .join();
    }

    private static Throwable failure(CompletableFuture<?> future) {
        try {
            future.get();
            throw new AssertionError("the call did not fail");
        } catch (ExecutionException e) {
            return e.getCause();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
