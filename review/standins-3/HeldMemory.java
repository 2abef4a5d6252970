import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A host is killed while a long prompt that it relays has memory set aside on a helper, after the helper has turned another
 * request away with Retry-After.
 */
final class HeldMemory extends Case {
    private static final long FREE_MS = 4_000;
    private static final long CONTACT_MS = 3_000;

    /** The rule counts stretches of two seconds or more. */
    private static final long LEAST_STRETCH_MS = 2_000;

    private static final int PROMPT_TOKENS = 420_000;

    HeldMemory() throws IOException {}

    public static void main(String[] arguments) throws IOException {
        execute(new HeldMemory());
    }

    @Override
    int run() throws Exception {
        Store store = new Store("127.0.0.1", 0);
        store.put("op", "config", Config.text(7));
        List<String> zones = List.of("nbi-a", "nbi-b", "nbi-c");
        List<Engine> engines = new ArrayList<>();
        Engine.Pace pace = new Engine.Pace() {
            @Override
            public long first(Http.Message request) {
                return request.path().equals(Config.LONG_PATH) ? 2_800 : 60;
            }

            @Override
            public int events(Http.Message request) {
                return request.path().equals(Config.LONG_PATH) ? 32 : 5;
            }

            @Override
            public long gap(Http.Message request) {
                return request.path().equals(Config.LONG_PATH) ? 300 : 30;
            }
        };
        for (int i = 0; i < 6; i++) {
            engines.add(new Engine(this, store, "i-" + i, Config.MODEL, zones.get(i % 3), "127.0.0.1", pace));
        }
        Hosts hosts = new Hosts(folder, store.address(), zones);
        for (int i = 0; i < 3; i++) {
            hosts.add("front-" + i, zones.get(i)).start();
        }
        hosts.awaitReady(30);
        note("three hosts are ready");
        Thread.sleep(3_000);
        Hosts.Host host = hosts.all().get(0);

        Thread prompt = Thread.ofVirtual().start(() -> {
            String id = Client.newId();
            String head = Client.head("POST", Config.LONG_PATH, id, 15_000, "X-Model: m\r\nX-Token-Usage: " + PROMPT_TOKENS
                    + ",600\r\nX-Prompt-Prefix: 5c1e07a2:40," + id + ":" + (PROMPT_TOKENS - 40) + "\r\nContent-Length: 0\r\n");
            Client.Answer answer = Client.call(host.front(), head, 16_000);
            note("the long prompt %s: %s", id, answer);
        });
        long end = millis() + 5_000;
        while (engines.stream().noneMatch(engine -> engine.tickets() > 0 && millis() > 0)
                || engines.stream().mapToInt(engine -> engine.running.get()).sum() == 0) {
            if (millis() > end) {
                note("no memory was set aside");
                return NOT_RUN;
            }
            Thread.sleep(10);
        }
        // The answer has begun by then.
        Thread.sleep(3_200);
        List<Engine> helpers = engines.stream().filter(engine -> engine.tickets() > 0).toList();
        note("memory is set aside at %s", helpers.stream().map(engine -> engine.id).toList());

        // The workers are full for a moment and say so.
        engines.forEach(engine -> engine.full = "1");
        List<Client.Answer> answers = new CopyOnWriteArrayList<>();
        List<Thread> shorts = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            shorts.add(Thread.ofVirtual().start(() -> answers.add(shortPrompt(host))));
            Thread.sleep(10);
        }
        engines.forEach(engine -> engine.full = "");
        for (Thread each : shorts) {
            each.join();
        }
        note("short prompts meanwhile: %s", answers.stream().map(Client.Answer::status).toList());
        long killedAt = -1;
        if (trouble) {
            host.kill();
            killedAt = millis();
            note("%s was killed", host.name);
            Thread.sleep(1_000);
            host.start();
            note("%s was started again", host.name);
        }
        long inTouchAt = trouble ? millis() + CONTACT_MS : 0;
        prompt.join();
        long limit = millis() + 22_000;
        while (engines.stream().anyMatch(engine -> engine.tickets() > 0) && millis() < limit) {
            Thread.sleep(10);
        }
        int code = HELD;
        for (Engine engine : engines) {
            for (Engine.Aftermath aftermath : engine.aftermaths()) {
                long from = Math.max(aftermath.endedAt() + FREE_MS, inTouchAt);
                long stretch = aftermath.freedAt() - from;
                note("%s: ticket %s of %d tokens was freed %d ms after the last request that used it had ended; %d ms beyond %d ms with all machines in touch",
                        aftermath.engine(), aftermath.ticket(), aftermath.tokens(), aftermath.millis(), Math.max(0, stretch), FREE_MS);
                if (stretch >= LEAST_STRETCH_MS) {
                    code = BROKEN;
                }
            }
        }
        return code;
    }

    private static Client.Answer shortPrompt(Hosts.Host host) {
        String id = Client.newId();
        String head = Client.head("POST", Config.SHORT_PATH, id, 10_000,
                "X-Model: m\r\nX-Token-Usage: 4960,40\r\nX-Prompt-Prefix: 5c1e07a2:40," + id + ":4920\r\nContent-Length: 0\r\n");
        return Client.call(host.front(), head, 11_000);
    }
}
