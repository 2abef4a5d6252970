package org.boragebarrow.ctl.load;

import com.google.common.collect.ImmutableList;

import static com.google.common.base.Preconditions.checkArgument;

/** The vertical axis of a plot, with round ticks. */
sealed interface ValueAxis {
    /** Returns the height of a value, from 0 at the foot to 1 at the top. */
    double place(double value);

    /** Returns the values that are marked. */
    ImmutableList<Double> ticks();

    /** Returns an axis from 0 to at least the value. */
    static ValueAxis linear(double highest) {
        return Linear.upTo(highest);
    }

    /** Returns an axis of whole powers of ten from 1 to at least the value; smaller values lie at its foot. */
    static ValueAxis logarithmic(double highest) {
        checkArgument(Double.isFinite(highest), "no number: %s", highest);
        return new Logarithmic((int) Math.max(1, Math.ceil(Math.log10(Math.max(1, highest)))));
    }

    /** An axis whose ticks are evenly spaced. */
    record Linear(double step, int steps) implements ValueAxis {
        private static final int MOST_STEPS = 6;
        private static final ImmutableList<Double> ROUND = ImmutableList.of(1.0, 2.0, 5.0, 10.0);

        static Linear upTo(double highest) {
            checkArgument(highest >= 0 && Double.isFinite(highest), "not a number from 0 on: %s", highest);
            if (highest == 0) {
                return new Linear(1, 1);
            }
            double power = Math.pow(10, Math.floor(Math.log10(highest / MOST_STEPS)));
            double step = power;
            for (double round : ROUND) {
                step = power * round;
                if (highest <= step * MOST_STEPS) {
                    break;
                }
            }
            return new Linear(step, (int) Math.max(1, Math.ceil(highest / step)));
        }

        @Override
        public double place(double value) {
            return value / (step * steps);
        }

        @Override
        public ImmutableList<Double> ticks() {
            ImmutableList.Builder<Double> ticks = ImmutableList.builder();
            for (int i = 0; i <= steps; i++) {
                ticks.add(step * i);
            }
            return ticks.build();
        }
    }

    /** An axis that marks powers of ten. */
    record Logarithmic(int decades) implements ValueAxis {
        @Override
        public double place(double value) {
            return Math.log10(Math.max(1, value)) / decades;
        }

        @Override
        public ImmutableList<Double> ticks() {
            ImmutableList.Builder<Double> ticks = ImmutableList.builder();
            for (int i = 0; i <= decades; i++) {
                ticks.add(Math.pow(10, i));
            }
            return ticks.build();
        }
    }
}
