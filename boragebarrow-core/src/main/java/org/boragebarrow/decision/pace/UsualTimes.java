package org.boragebarrow.decision.pace;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;

import org.boragebarrow.model.ServiceName;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The times that a region's answers took lately, by class of requests.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds.
 */
public final class UsualTimes {
    /** Classes that are kept, about 0.7 MB; the one that was not used for longest is forgotten. */
    private static final int MAX_CLASSES = 512;

    /** Answers below which a class says nothing. */
    private static final double MIN_COUNT = 12;

    private final Duration halfLife;
    private final Map<RequestClass, DecayedQuantiles> classes = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestClass, DecayedQuantiles> eldest) {
            return size() > MAX_CLASSES;
        }
    };

    /**
     * Requests whose times can be compared.
     *
     * @param size the class of the prompt's length, by its number; 0 for requests without prompts
     * @param objectiveMillis the latency objective of the route, which tells calls of unlike routes apart
     */
    public record RequestClass(ServiceName service, int size, long objectiveMillis) {
        public RequestClass {
            checkNotNull(service);
        }
    }

    /** Creates an estimator without times; the weight of a time halves in each half-life. */
    public UsualTimes(Duration halfLife) {
        this.halfLife = checkNotNull(halfLife);
    }

    /** Records the time of an answer, in the unit of the class. */
    public void record(RequestClass requests, double time, long now) {
        classes.computeIfAbsent(checkNotNull(requests), added -> new DecayedQuantiles(halfLife))
                .add(time, now);
    }

    /** Returns the time within which the given fraction of the answers came; empty if too few came lately. */
    public OptionalDouble quantile(RequestClass requests, double fraction, long now) {
        DecayedQuantiles times = classes.get(checkNotNull(requests));
        return times == null || times.count(now) < MIN_COUNT ? OptionalDouble.empty() : times.quantile(fraction);
    }
}
