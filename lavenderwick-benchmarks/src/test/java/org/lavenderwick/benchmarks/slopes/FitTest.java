package org.lavenderwick.benchmarks.slopes;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

/** Guards against a wrong slope or spread, from which every figure at the target size would be wrong. */
class FitTest {

    private static final double ROUNDING = 1e-9;

    @Nested
    class LineTest {

        @Test
        void pointsOnALineGiveThatLine() {
            Fit fit = Fit.of(List.of(6.0, 60.0, 720.0), List.of(19.0, 181.0, 2_161.0));

            assertThat(fit.slope()).isCloseTo(3, within(ROUNDING));
            assertThat(fit.intercept()).isCloseTo(1, within(ROUNDING));
            assertThat(fit.determination()).isCloseTo(1, within(ROUNDING));
            assertThat(fit.at(1_000)).isCloseTo(3_001, within(ROUNDING));
        }

        @Test
        void scatteredPointsGiveTheLeastSquares() {
            Fit fit = Fit.of(List.of(1.0, 2.0, 3.0), List.of(1.0, 3.0, 2.0));

            assertThat(fit.slope()).isCloseTo(0.5, within(ROUNDING));
            assertThat(fit.intercept()).isCloseTo(1, within(ROUNDING));
            assertThat(fit.determination()).isCloseTo(0.25, within(ROUNDING));
        }

        @Test
        void constantValuesHaveNoSlope() {
            Fit fit = Fit.of(List.of(1.0, 2.0), List.of(5.0, 5.0));

            assertThat(fit.slope()).isZero();
            assertThat(fit.at(100)).isCloseTo(5, within(ROUNDING));
        }

        @Test
        void oneSizeHasNoLine() {
            assertThatThrownBy(() -> Fit.of(List.of(1.0, 1.0), List.of(1.0, 2.0)))
                    .isInstanceOf(IllegalArgumentException.class);
            Point point = new Point(1, List.of(1.0));
            assertThat(new Series("s", "u", "n", List.of(point, point)).fit()).isEmpty();
        }
    }

    @Nested
    class PointTest {

        @Test
        void runsAreOrderedBeforeTheMedianIsTaken() {
            Point point = new Point(1, List.of(9.0, 1.0, 5.0, 7.0, 3.0));

            assertThat(point.median()).isEqualTo(5);
            assertThat(point.min()).isEqualTo(1);
            assertThat(point.max()).isEqualTo(9);
        }

        @Test
        void anEvenNumberOfRunsHasTheMeanOfTheMiddle() {
            assertThat(new Point(1, List.of(4.0, 1.0, 2.0, 100.0)).median()).isEqualTo(3);
        }
    }

    @Nested
    class ExchangeSimulationTest {

        @Test
        void aCutDomainLearnsOfAChangeOnlyAfterTheCut() {
            ExchangeSimulation simulation = new ExchangeSimulation(60, 1, ExchangeSlopes.sizes(60));
            simulation.cut(1);
            simulation.newConfiguration();

            assertThatThrownBy(() -> simulation.settle(Duration.ofSeconds(30)))
                    .isInstanceOf(IllegalStateException.class);

            simulation.cut(0);
            assertThat(simulation.settle(Duration.ofSeconds(30))).isPositive();
        }
    }
}
