package org.boragebarrow.standins.platform;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import org.boragebarrow.http.platform.HostListMessages.ListingMessage;
import org.boragebarrow.http.platform.PlatformJson;
import org.boragebarrow.http.platform.TableMessages.CommitAnswer;
import org.boragebarrow.http.platform.TableMessages.CommitOutcome;
import org.boragebarrow.http.platform.TableMessages.CommitRequest;
import org.boragebarrow.http.platform.TableMessages.GetRequest;
import org.boragebarrow.http.platform.TableMessages.RowsAnswer;
import org.boragebarrow.http.platform.TableMessages.ScanRequest;
import org.boragebarrow.http.platform.WeightMessages.RemainingAnswer;
import org.boragebarrow.port.HostList.Listing;
import org.boragebarrow.standins.fault.FaultSwitches;
import org.boragebarrow.standins.platform.CountersAnswer.Counts;
import org.boragebarrow.standins.web.WebHandler;
import org.boragebarrow.standins.web.WebRequest;
import org.boragebarrow.standins.web.WebResponse;
import org.boragebarrow.testing.MemoryTable;

/** Routes each call to the component of the platform that its path names; not thread-safe. */
final class PlatformHandler implements WebHandler {
    private static final int RETAINED_COMMITS = 1_000;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY_REQUESTS = 429;

    private final Ticker ticker;
    private final Map<PlatformComponent, FaultInjector> faultInjectors = new EnumMap<>(PlatformComponent.class);
    private final MemoryTable table = new MemoryTable(RETAINED_COMMITS);
    private final Map<String, byte[]> objects = new HashMap<>();
    private final LaggingHostList hosts;
    private final ModelLoadLimiter loadLimiter;

    PlatformHandler(PlatformSettings settings, Ticker ticker, FaultInjector.Timer timer) {
        this.ticker = ticker;
        hosts = new LaggingHostList(settings.hostListLag(), settings.hosts());
        loadLimiter = new ModelLoadLimiter(settings.loadsPerMinute());
        SplittableRandom random = new SplittableRandom(settings.seed());
        for (PlatformComponent component : PlatformComponent.values()) {
            faultInjectors.put(component, new FaultInjector(random.split(), timer));
        }
    }

    @Override
    public void handle(WebRequest request, WebResponse response) {
        ImmutableList<String> segments = request.segments();
        String resource = segments.isEmpty() ? "" : segments.get(0);
        Optional<String> name = segments.size() < 2 ? Optional.empty() : Optional.of(segments.get(1));
        Consumer<Reply> callback = reply -> send(reply, response);
        switch (request.method() + " " + resource) {
            case "POST table" -> handleTable(name.orElse(""), request.body(), callback);
            case "GET objects" -> read(PlatformComponent.OBJECTS, () -> getObject(name.orElse("")), callback);
            case "PUT objects" ->
                write(PlatformComponent.OBJECTS, () -> putObject(name.orElse(""), request.body()), callback);
            case "DELETE objects" -> write(PlatformComponent.OBJECTS, () -> deleteObject(name.orElse("")), callback);
            case "GET hosts" -> read(PlatformComponent.HOSTS, this::listHosts, callback);
            case "PUT hosts" -> replaceHosts(request.body(), callback);
            case "POST hosts" -> markLeaving(request, callback);
            case "GET weights" -> read(PlatformComponent.WEIGHTS, this::remainingLoads, callback);
            case "POST weights" -> write(PlatformComponent.WEIGHTS, this::acquireLoad, callback);
            case "POST faults" -> setFaults(name, request.body(), callback);
            case "GET faults" -> callback.accept(Reply.json(effects(name)));
            case "GET counters" -> callback.accept(Reply.json(counters()));
            default -> callback.accept(Reply.status(NOT_FOUND));
        }
    }

    private void handleTable(String operation, byte[] body, Consumer<Reply> callback) {
        switch (operation) {
            case "get" -> {
                GetRequest get = PlatformJson.read(body, GetRequest.class);
                read(PlatformComponent.TABLE, () -> get(get), callback);
            }
            case "scan" -> {
                ScanRequest scan = PlatformJson.read(body, ScanRequest.class);
                read(PlatformComponent.TABLE, () -> scan(scan), callback);
            }
            case "commit" -> {
                CommitRequest commit = PlatformJson.read(body, CommitRequest.class);
                write(PlatformComponent.TABLE, () -> commit(commit), callback);
            }
            default -> callback.accept(Reply.status(NOT_FOUND));
        }
    }

    private Reply get(GetRequest request) {
        int commitsAgo = faultInjectors.get(PlatformComponent.TABLE).drawStaleCommits();
        return Reply.json(
                new RowsAnswer(table.get(request.key(), commitsAgo).stream().toList()));
    }

    private Reply scan(ScanRequest request) {
        int commitsAgo = faultInjectors.get(PlatformComponent.TABLE).drawStaleCommits();
        return Reply.json(new RowsAnswer(table.scan(request.prefix(), request.limit(), commitsAgo)));
    }

    private Reply commit(CommitRequest request) {
        boolean committed = table.commit(ImmutableList.copyOf(request.conditions()), request.toWrites());
        return Reply.json(new CommitAnswer(committed ? CommitOutcome.COMMITTED : CommitOutcome.CONFLICT));
    }

    private Reply getObject(String key) {
        byte[] bytes = objects.get(key);
        return bytes == null ? Reply.status(NOT_FOUND) : Reply.bytes(bytes);
    }

    private Reply putObject(String key, byte[] bytes) {
        objects.put(key, bytes);
        return Reply.status(OK);
    }

    private Reply deleteObject(String key) {
        objects.remove(key);
        return Reply.status(OK);
    }

    private Reply listHosts() {
        return Reply.json(ListingMessage.of(hosts.read(ticker.read())));
    }

    private void replaceHosts(byte[] body, Consumer<Reply> callback) {
        Listing listing = PlatformJson.read(body, ListingMessage.class).toListing();
        hosts.replace(listing, ticker.read());
        callback.accept(Reply.status(OK));
    }

    private void markLeaving(WebRequest request, Consumer<Reply> callback) {
        ImmutableList<String> segments = request.segments();
        boolean marked = segments.size() == 3
                && segments.get(2).equals("leaving")
                && hosts.markLeaving(segments.get(1), ticker.read());
        callback.accept(Reply.status(marked ? OK : NOT_FOUND));
    }

    private Reply remainingLoads() {
        return Reply.json(new RemainingAnswer(loadLimiter.remaining(ticker.read())));
    }

    private Reply acquireLoad() {
        return loadLimiter.tryAcquire(ticker.read()) ? remainingLoads() : Reply.status(TOO_MANY_REQUESTS);
    }

    private void setFaults(Optional<String> component, byte[] body, Consumer<Reply> callback) {
        PlatformFaults faults = FaultSwitches.read(body, PlatformFaults.class);
        if (component.isPresent()) {
            faultInjectors
                    .get(PlatformComponent.valueOf(component.get().toUpperCase(Locale.ROOT)))
                    .setFaults(faults);
        } else {
            faultInjectors.values().forEach(injector -> injector.setFaults(faults));
        }
        callback.accept(Reply.status(OK));
    }

    /** Returns the effects of the faults of one component. */
    private ObjectNode effects(Optional<String> component) {
        String name = component.orElse(PlatformComponent.TABLE.name());
        return faultInjectors
                .get(PlatformComponent.valueOf(name.toUpperCase(Locale.ROOT)))
                .effects()
                .toJson();
    }

    private CountersAnswer counters() {
        return new CountersAnswer(
                counts(PlatformComponent.TABLE),
                counts(PlatformComponent.OBJECTS),
                counts(PlatformComponent.HOSTS),
                counts(PlatformComponent.WEIGHTS));
    }

    private Counts counts(PlatformComponent component) {
        FaultInjector injector = faultInjectors.get(component);
        return new Counts(injector.reads(), injector.writes());
    }

    private void read(PlatformComponent component, Supplier<Reply> query, Consumer<Reply> callback) {
        faultInjectors.get(component).read(query, callback);
    }

    private void write(PlatformComponent component, Supplier<Reply> effect, Consumer<Reply> callback) {
        faultInjectors.get(component).write(effect, callback);
    }

    private static void send(Reply reply, WebResponse response) {
        switch (reply) {
            case Reply.Answer answer -> response.send(answer.status(), answer.contentType(), answer.body());
            case Reply.Reset reset -> response.abort();
        }
    }
}
