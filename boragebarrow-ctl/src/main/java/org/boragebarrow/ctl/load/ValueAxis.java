package org.boragebarrow.ctl.load;

import com.google.common.collect.ImmutableList;

import static com.google.common.base.Preconditions.checkArgument;

/** The vertical axis of a plot, with ticks at round values. */
sealed interface ValueAxis {
    /** Returns the position of a value, from 0 at the bottom of the axis to 1 at the top. */
    double position(double value);

    /** Returns the values of the ticks. */
    ImmutableList<Double> ticks();

    /** Returns a linear axis from 0 to at least the value. */
    static ValueAxis linear(double maximum) {
        return Linear.upTo(maximum);
    }

    /** Returns a logarithmic axis from 1 to a power of ten of at least the value; values below 1 are drawn at 1. */
    static ValueAxis logarithmic(double maximum) {
        checkArgument(Double.isFinite(maximum), "not a finite number: %s", maximum);
        return new Logarithmic((int) Math.max(1, Math.ceil(Math.log10(Math.max(1, maximum)))));
    }

    /** An axis whose ticks are evenly spaced. */
    record Linear(double step, int steps) implements ValueAxis {
        private static final int MAX_STEPS = 6;
        private static final ImmutableList<Double> ROUND_MULTIPLES = ImmutableList.of(1.0, 2.0, 5.0, 10.0);

        static Linear upTo(double maximum) {
            checkArgument(maximum >= 0 && Double.isFinite(maximum), "not a finite, non-negative number: %s", maximum);
            if (maximum == 0) {
                return new Linear(1, 1);
            }
            double power = Math.pow(10, Math.floor(Math.log10(maximum / MAX_STEPS)));
            double step = power;
            for (double multiple : ROUND_MULTIPLES) {
                step = power * multiple;
                if (maximum <= step * MAX_STEPS) {
                    break;
                }
            }
            return new Linear(step, (int) Math.max(1, Math.ceil(maximum / step)));
        }

        @Override
        public double position(double value) {
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

    /** An axis with a tick at each power of ten. */
    record Logarithmic(int decades) implements ValueAxis {
        @Override
        public double position(double value) {
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
