package org.boragebarrow.trials.soak;

import java.util.random.RandomGenerator;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.standins.engine.EngineStandin;
import org.boragebarrow.standins.service.ServiceStandin;
import org.boragebarrow.trials.Deployment;
import org.boragebarrow.trials.Standins;

/** Injects one fault after another, each for a limited time; a seeded generator draws the faults and times. */
final class FaultSource implements Runnable {
    private static final String HEALTHY_ENGINE = "{\"slow_factor\":1,\"refuse\":false,\"leaving\":false,"
            + "\"frozen\":false,\"lose_cancel_answers\":false,\"drop_after_tokens\":0,\"die_after_tokens\":0}";
    private static final ImmutableList<String> ENGINE_FAULTS = ImmutableList.of(
            "{\"slow_factor\":5}",
            "{\"refuse\":true}",
            "{\"leaving\":true}",
            "{\"frozen\":true}",
            "{\"lose_cancel_answers\":true}",
            "{\"drop_after_tokens\":5}",
            "{\"die_after_tokens\":9}");
    private static final ImmutableList<String> PLATFORM_FAULTS = ImmutableList.of(
            "{\"down\":true}",
            "{\"lost_before_effect\":0.3}",
            "{\"lost_after_effect\":0.3}",
            "{\"delayed\":0.3,\"delay_millis\":1500}",
            "{\"slow_millis\":300}",
            "{\"stale_commits\":3}");
    private static final ImmutableList<String> SERVICE_FAULTS = ImmutableList.of(
            "{\"slow_millis\":400}", "{\"refused\":0.3}", "{\"died_after_run\":0.3}", "{\"half_answers\":0.3}");

    /** How long a fault without any effect stays. */
    private static final long MAX_WAIT_MILLIS = 20_000;

    private static final long POLL_MILLIS = 250;

    private final SoakContext context;
    private final RandomGenerator random;

    FaultSource(SoakContext context, RandomGenerator random) {
        this.context = context;
        this.random = random;
    }

    @Override
    public void run() {
        while (!context.isStopped()) {
            try {
                injectOne();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException e) {
                context.violations().add("faults can be injected", e.toString());
            }
            Pause.millis(random.nextInt(200, 1_000));
        }
    }

    private void injectOne() throws InterruptedException {
        switch (random.nextInt(8)) {
            case 0 -> replaceHost(true);
            case 1 -> replaceHost(false);
            case 2, 3 -> faultEngine();
            case 4, 5 -> faultPlatform();
            case 6 -> faultService();
            default -> isolateZone();
        }
    }

    private void replaceHost(boolean kill) throws InterruptedException {
        Deployment deployment = context.deployment();
        HostId id = pick(deployment.hostIds());
        AvailabilityZoneId zone = deployment.host(id).members().zone();
        context.trace().add((kill ? "kills " : "drains ") + id);
        if (kill) {
            deployment.kill(id);
        } else {
            deployment.drain(id);
        }
        Pause.millis(random.nextInt(0, 4_000));
        context.trace().add("starts " + id);
        deployment.startHost(id, zone, context.network());
        deployment.publishHostList();
    }

    private void faultEngine() {
        EngineStandin engine =
                pick(ImmutableList.copyOf(context.deployment().engines().values()));
        String fault = pick(ENGINE_FAULTS);
        context.trace().add(engine.id() + " " + fault);
        keepInEffect("engine", engine.endpoint(), "/faults", fault, HEALTHY_ENGINE, random.nextInt(500, 4_000));
        context.trace().add(engine.id() + " healthy");
    }

    private void faultPlatform() {
        String fault = pick(PLATFORM_FAULTS);
        context.trace().add("table " + fault);
        keepInEffect(
                "table", context.deployment().platform(), "/faults/table", fault, "{}", random.nextInt(500, 5_000));
        context.trace().add("table healthy");
    }

    private void faultService() {
        ServiceStandin service =
                pick(ImmutableList.copyOf(context.deployment().services().values()));
        String fault = pick(SERVICE_FAULTS);
        context.trace().add("service at " + service.endpoint() + " " + fault);
        keepInEffect("service", service.endpoint(), "/faults", fault, "{}", random.nextInt(500, 3_000));
    }

    /**
     * Injects a fault for a time, and longer if it has had no effect by then, and counts whether it had one. A stand-in
     * has one fault at a time; one that the end of the run cuts short is not counted.
     */
    private void keepInEffect(
            String component, Endpoint standin, String path, String fault, String healthy, long millis) {
        if (!context.faults().tryOccupy(standin)) {
            return;
        }
        try {
            String name = Standins.firstField(fault);
            long before = effects(standin, path, name);
            Standins.setFaults(standin, path, fault);
            Pause.millis(millis);
            for (long waited = 0;
                    waited < MAX_WAIT_MILLIS && effects(standin, path, name) == before;
                    waited += POLL_MILLIS) {
                if (context.isStopped()) {
                    break;
                }
                Pause.millis(POLL_MILLIS);
            }
            long after = effects(standin, path, name);
            Standins.setFaults(standin, path, healthy);
            if (after > before || !context.isStopped()) {
                context.faults().add(component + " " + name, after - before);
            }
        } finally {
            context.faults().release(standin);
        }
    }

    private static long effects(Endpoint standin, String path, String name) {
        return Standins.readJson(standin, path).path(name).asLong();
    }

    private void isolateZone() {
        AvailabilityZoneId zone = pick(context.deployment().spec().zoneIds());
        boolean fromPlatform = random.nextBoolean();
        context.trace().add("isolates zone " + zone + (fromPlatform ? " and from the platform" : ""));
        context.network().setIsolatedFromZones(zone, true);
        context.network().setIsolatedFromPlatform(zone, fromPlatform);
        Pause.millis(random.nextInt(1_000, 9_000));
        context.network().setIsolatedFromZones(zone, false);
        context.network().setIsolatedFromPlatform(zone, false);
        context.trace().add("reconnects zone " + zone);
    }

    private <T> T pick(ImmutableList<T> list) {
        return list.get(random.nextInt(list.size()));
    }
}
