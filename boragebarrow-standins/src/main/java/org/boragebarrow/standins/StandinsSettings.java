package org.boragebarrow.standins;

import java.io.IOException;
import java.io.Reader;
import java.time.Duration;
import java.util.Optional;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.TargetKind;
import org.boragebarrow.port.HostList.EntryHost;
import org.boragebarrow.port.HostList.Listing;
import org.boragebarrow.standins.engine.EngineSettings;
import org.boragebarrow.standins.platform.PlatformSettings;

import static com.google.common.base.Preconditions.checkArgument;
import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * The settings of all stand-ins of one process.
 *
 * @param platform the platform, whose host list contains all engines, services and entry hosts of the file
 */
public record StandinsSettings(
        Optional<PlatformSettings> platform, ImmutableList<Engine> engines, ImmutableList<Service> services) {
    private static final int DEFAULT_LOADS_PER_MINUTE = 6;
    private static final Splitter LIST_SPLITTER = Splitter.on(',').trimResults().omitEmptyStrings();
    private static final Splitter SECTION_NAME_SPLITTER =
            Splitter.on(' ').trimResults().omitEmptyStrings();

    /** The settings of one model engine. */
    public record Engine(Target target, EngineSettings settings, long seed) {}

    /** The settings of one plain service. */
    public record Service(Target target, long seed) {}

    /**
     * Reads the settings from an INI file.
     *
     * @throws IllegalArgumentException if a section or setting is unknown, missing or malformed
     */
    public static StandinsSettings read(Reader reader) throws IOException {
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(reader);
        } catch (ConfigurationException e) {
            throw new IllegalArgumentException("not an INI file: " + e.getMessage(), e);
        }
        return new Builder().addAll(ini).build();
    }

    private static final class Builder {
        private final ImmutableList.Builder<Engine> engines = ImmutableList.builder();
        private final ImmutableList.Builder<Service> services = ImmutableList.builder();
        private final ImmutableList.Builder<EntryHost> entryHosts = ImmutableList.builder();
        private final ImmutableList.Builder<Target> targets = ImmutableList.builder();
        private Optional<Section> platform = Optional.empty();

        Builder addAll(INIConfiguration ini) {
            for (String name : ini.getSections()) {
                checkArgument(name != null, "setting outside of a section");
                add(new Section(name, ini.getSection(name)));
            }
            return this;
        }

        private void add(Section section) {
            ImmutableList<String> words = ImmutableList.copyOf(SECTION_NAME_SPLITTER.split(section.name()));
            if (words.equals(ImmutableList.of("platform"))) {
                platform = Optional.of(section);
                return;
            }
            checkArgument(words.size() == 2, "unknown section: [%s]", section.name());
            String id = words.get(1);
            switch (words.get(0)) {
                case "engine" -> addEngine(section, TargetId.of(id));
                case "service" -> addService(section, TargetId.of(id));
                case "entry-host" ->
                    entryHosts.add(new EntryHost(HostId.of(id), section.zone(), section.endpoint(), false));
                default -> throw new IllegalArgumentException("unknown section: [" + section.name() + "]");
            }
            section.checkNoUnknownKeys();
        }

        private void addEngine(Section section, TargetId id) {
            Target target =
                    new Target(id, TargetKind.ENGINE, section.zone(), section.endpoint(), Optional.empty(), false);
            targets.add(target);
            engines.add(new Engine(target, engineSettings(section), seed(section)));
        }

        private void addService(Section section, TargetId id) {
            Optional<ServiceName> service = Optional.of(ServiceName.of(section.text("service")));
            Target target = new Target(id, TargetKind.SERVICE, section.zone(), section.endpoint(), service, false);
            targets.add(target);
            services.add(new Service(target, seed(section)));
        }

        StandinsSettings build() {
            Listing listing = new Listing(entryHosts.build(), targets.build());
            return new StandinsSettings(
                    platform.map(section -> platformSettings(section, listing)), engines.build(), services.build());
        }
    }

    private static PlatformSettings platformSettings(Section section, Listing hosts) {
        PlatformSettings settings = new PlatformSettings(
                section.endpoint(),
                hosts,
                section.millis("host-list-lag-ms", Duration.ZERO),
                section.intValue("loads-per-minute", DEFAULT_LOADS_PER_MINUTE),
                seed(section));
        section.checkNoUnknownKeys();
        return settings;
    }

    private static EngineSettings engineSettings(Section section) {
        EngineSettings defaults = EngineSettings.defaults();
        return EngineSettings.builder()
                .prefillTokensPerSecond(
                        section.doubleValue("prefill-tokens-per-second", defaults.prefillTokensPerSecond()))
                .stepBase(section.micros("step-base-us", defaults.stepBase()))
                .stepPerSequence(section.micros("step-per-sequence-us", defaults.stepPerSequence()))
                .chunkTokens(section.intValue("chunk-tokens", defaults.chunkTokens()))
                .batchSlots(section.intValue("batch-slots", defaults.batchSlots()))
                .maxWaiting(section.intValue("max-waiting", defaults.maxWaiting()))
                .capacityTokens(section.longValue("capacity-tokens", defaults.capacityTokens()))
                .cacheEventLag(section.millis("cache-event-lag-ms", defaults.cacheEventLag()))
                .cacheEventLoss(section.doubleValue("cache-event-loss", defaults.cacheEventLoss()))
                .loadReportInterval(section.millis("load-report-interval-ms", defaults.loadReportInterval()))
                .loadTime(section.millis("load-time-ms", defaults.loadTime()))
                .checksFencing(section.booleanValue("checks-fencing", defaults.checksFencing()))
                .models(models(section, defaults))
                .role(section.text("role", defaults.role()))
                .build();
    }

    private static ImmutableSet<ModelId> models(Section section, EngineSettings defaults) {
        String ids = section.text("models", "");
        if (ids.isEmpty()) {
            return defaults.models();
        }
        return LIST_SPLITTER.splitToStream(ids).map(ModelId::of).collect(ImmutableSet.toImmutableSet());
    }

    private static long seed(Section section) {
        return section.longValue(
                "seed", Hashing.murmur3_128().hashString(section.name(), UTF_8).asLong());
    }
}
