package org.boragebarrow.trials.soak;

import java.util.random.RandomGenerator;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.standins.engine.EngineStandin;
import org.boragebarrow.standins.service.ServiceStandin;
import org.boragebarrow.trials.Deployment;
import org.boragebarrow.trials.Standins;

/** Injects one fault after another, each for a while; the faults and times are drawn from the seeded generator. */
final class Faults implements Runnable {
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
            "{\"lostBeforeEffect\":0.3}",
            "{\"lostAfterEffect\":0.3}",
            "{\"delayed\":0.3,\"delayMillis\":1500}",
            "{\"slowMillis\":300}",
            "{\"staleCommits\":3}");
    private static final ImmutableList<String> SERVICE_FAULTS = ImmutableList.of(
            "{\"slowMillis\":400}", "{\"refused\":0.3}", "{\"diedAfterRun\":0.3}", "{\"halfAnswers\":0.3}");

    private final World world;
    private final RandomGenerator random;

    Faults(World context, RandomGenerator random) {
        this.world = context;
        this.random = random;
    }

    @Override
    public void run() {
        while (!world.isStopped()) {
            try {
                bringOne();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            Pause.millis(random.nextInt(200, 1_000));
        }
    }

    private void bringOne() throws InterruptedException {
        switch (random.nextInt(8)) {
            case 0 -> replaceHost(true);
            case 1 -> replaceHost(false);
            case 2, 3 -> faultEngine();
            case 4, 5 -> faultPlatform();
            case 6 -> faultService();
            default -> cutZone();
        }
    }

    private void replaceHost(boolean kill) throws InterruptedException {
        Deployment deployment = world.deployment();
        HostId id = pick(deployment.hostIds());
        AvailabilityZoneId zone = deployment.host(id).members().zone();
        world.trace().add((kill ? "kills " : "drains ") + id);
        if (kill) {
            deployment.kill(id);
        } else {
            deployment.drain(id);
        }
        Pause.millis(random.nextInt(0, 4_000));
        world.trace().add("starts " + id);
        deployment.startHost(id, zone, world.network());
        deployment.publishHostList();
    }

    private void faultEngine() {
        EngineStandin engine =
                pick(ImmutableList.copyOf(world.deployment().engines().values()));
        String fault = pick(ENGINE_FAULTS);
        world.trace().add(engine.id() + " " + fault);
        Standins.setFaults(engine.endpoint(), "/faults", fault);
        Pause.millis(random.nextInt(500, 4_000));
        Standins.setFaults(engine.endpoint(), "/faults", HEALTHY_ENGINE);
        world.trace().add(engine.id() + " healthy");
    }

    private void faultPlatform() {
        String fault = pick(PLATFORM_FAULTS);
        world.trace().add("table " + fault);
        Standins.setFaults(world.deployment().platform(), "/faults/table", fault);
        Pause.millis(random.nextInt(500, 5_000));
        Standins.setFaults(world.deployment().platform(), "/faults/table", "{}");
        world.trace().add("table healthy");
    }

    private void faultService() {
        ServiceStandin service =
                pick(ImmutableList.copyOf(world.deployment().services().values()));
        String fault = pick(SERVICE_FAULTS);
        world.trace().add("service at " + service.endpoint() + " " + fault);
        Standins.setFaults(service.endpoint(), "/faults", fault);
        Pause.millis(random.nextInt(500, 3_000));
        Standins.setFaults(service.endpoint(), "/faults", "{}");
    }

    private void cutZone() {
        AvailabilityZoneId zone = pick(world.deployment().shape().zoneIds());
        boolean fromPlatform = random.nextBoolean();
        world.trace().add("isolates zone " + zone + (fromPlatform ? " and from the platform" : ""));
        world.network().setCutFromZones(zone, true);
        world.network().setCutFromPlatform(zone, fromPlatform);
        Pause.millis(random.nextInt(1_000, 9_000));
        world.network().setCutFromZones(zone, false);
        world.network().setCutFromPlatform(zone, false);
        world.trace().add("reconnects zone " + zone);
    }

    private <T> T pick(ImmutableList<T> list) {
        return list.get(random.nextInt(list.size()));
    }
}
