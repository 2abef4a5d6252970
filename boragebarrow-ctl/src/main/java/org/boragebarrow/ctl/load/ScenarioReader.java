package org.boragebarrow.ctl.load;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.ServiceName;

/** Reads scenarios from INI files. */
public final class ScenarioReader {
    private static final String RUN = "run";
    private static final String RATE = "rate";
    private static final String ORGANISATION = "organisation";
    private static final String CLASS = "class";
    private static final String SERVICE = "service";
    private static final TokenRange ONE_TOKEN = new TokenRange(1, 1);
    private static final TokenRange DEFAULT_MAX_TOKENS = new TokenRange(32, 32);
    private static final int DEFAULT_BODY_BYTES = 8_192;
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration DEFAULT_GRACE = Duration.ofMillis(250);

    private final ScenarioFile file;

    private ScenarioReader(ScenarioFile file) {
        this.file = file;
    }

    /**
     * Reads the text of an INI file.
     *
     * @throws ScenarioException with all problems of the scenario
     */
    public static Scenario read(String text) {
        ScenarioFile file = ScenarioFile.parse(text);
        ScenarioReader reader = new ScenarioReader(file);
        Scenario scenario = new Scenario(
                reader.run(),
                reader.rate(),
                reader.readSections(ORGANISATION, reader::organisation),
                reader.readSections(CLASS, reader::promptClass),
                reader.readSections(SERVICE, reader::service));
        reader.validate(scenario);
        file.throwIfInvalid();
        return scenario;
    }

    private <T> ImmutableList<T> readSections(String kind, Function<String, T> reader) {
        return file.sectionNames(kind).stream().map(reader).collect(ImmutableList.toImmutableList());
    }

    private void validate(Scenario scenario) {
        if (scenario.organisations().isEmpty()) {
            file.report(ORGANISATION + " NAME", "", "missing section");
        }
        if (scenario.classes().isEmpty()) {
            file.report(CLASS + " NAME", "", "missing section");
        }
        if (scenario.run().warmUp().compareTo(scenario.run().duration()) >= 0) {
            file.report(RUN, "warm-up-seconds", "must be shorter than the run");
        }
        ImmutableSet.Builder<String> names = ImmutableSet.builder();
        scenario.classes().forEach(promptClass -> names.add(promptClass.name()));
        scenario.services().forEach(mix -> names.add(mix.name()));
        ImmutableSet<String> known = names.build();
        for (String name : scenario.run().includedNames()) {
            if (!known.contains(name)) {
                file.report(RUN, "only", "neither a class nor a service: \"" + name + "\"");
            }
        }
    }

    private Scenario.Run run() {
        return new Scenario.Run(
                file.required(RUN, "seconds", Duration.ofSeconds(1), ScenarioValues::seconds),
                file.optional(RUN, "warm-up-seconds", Duration.ZERO, ScenarioValues::seconds),
                file.required(RUN, "seed", 0L, ScenarioValues::wholeNumber),
                file.optional(RUN, "model", ModelId.of("model"), ModelId::of),
                file.required(RUN, "entry", ImmutableList.of(), ScenarioValues::endpoints),
                file.optional(RUN, "engines", ImmutableList.of(), ScenarioValues::endpoints),
                file.optional(RUN, "only", ImmutableSet.of(), ScenarioValues::names),
                file.optional(RUN, "declare-tokens", false, ScenarioValues::flag),
                file.optional(RUN, "max-body-bytes", DEFAULT_BODY_BYTES, ScenarioValues::positiveInteger),
                file.optional(RUN, "grace-ms", DEFAULT_GRACE, ScenarioValues::millis));
    }

    private Rate rate() {
        double base = file.required(RATE, "base", 1.0, ScenarioValues::positive);
        return new Rate(
                base,
                file.optional(RATE, "crest", base, ScenarioValues::positive),
                file.optional(RATE, "swing-start-s", Duration.ZERO, ScenarioValues::seconds),
                file.optional(RATE, "swing-length-s", Duration.ZERO, ScenarioValues::seconds));
    }

    private Scenario.Organisation organisation(String name) {
        String section = ORGANISATION + " " + name;
        return new Scenario.Organisation(
                parseName(section, name, OrganisationId::of, OrganisationId.of("x")),
                file.required(section, "key", "", ScenarioApiKeys::checkSource),
                file.optional(section, "share", 1.0, ScenarioValues::nonNegative),
                file.optional(section, "weight", 1.0, ScenarioValues::positive),
                file.optional(section, "prefix-share", 0.0, ScenarioValues::fraction),
                flood(section));
    }

    private Optional<Scenario.Flood> flood(String section) {
        double rate = file.optional(section, "flood-rate", 0.0, ScenarioValues::nonNegative);
        Scenario.Flood flood = new Scenario.Flood(
                rate,
                file.optional(section, "flood-start-s", Duration.ZERO, ScenarioValues::seconds),
                file.optional(section, "flood-length-s", Duration.ofDays(1), ScenarioValues::seconds));
        return rate > 0 ? Optional.of(flood) : Optional.empty();
    }

    private Scenario.PromptClass promptClass(String name) {
        String section = CLASS + " " + name;
        return new Scenario.PromptClass(
                name,
                file.optional(section, "weight", 1.0, ScenarioValues::positive),
                file.required(section, "prompt-tokens", ONE_TOKEN, TokenRange::parse),
                file.optional(section, "max-tokens", DEFAULT_MAX_TOKENS, TokenRange::parse),
                file.optional(section, "timeout-ms", DEFAULT_TIMEOUT, ScenarioValues::millis));
    }

    private Scenario.ServiceMix service(String name) {
        String section = SERVICE + " " + name;
        return new Scenario.ServiceMix(
                file.optional(
                        section,
                        "service",
                        parseName(section, name, ServiceName::of, ServiceName.of("x")),
                        ServiceName::of),
                name,
                file.required(section, "share", 0.0, ScenarioValues::positive),
                file.optional(section, "method", "GET", text -> text.toUpperCase(Locale.ROOT)),
                file.required(section, "path", "/", ScenarioValues::path),
                file.optional(section, "body", "", Function.identity()),
                file.optional(section, "keyed", false, ScenarioValues::flag),
                file.optional(section, "timeout-ms", DEFAULT_TIMEOUT, ScenarioValues::millis));
    }

    private <T> T parseName(String section, String name, Function<String, T> parser, T fallback) {
        try {
            return parser.apply(name);
        } catch (IllegalArgumentException e) {
            file.report(section, "", e.getMessage());
            return fallback;
        }
    }
}
