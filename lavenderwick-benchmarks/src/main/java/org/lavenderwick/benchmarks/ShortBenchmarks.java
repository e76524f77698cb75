package org.lavenderwick.benchmarks;

import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.CommandLineOptionException;
import org.openjdk.jmh.runner.options.CommandLineOptions;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/**
 * Runs the benchmarks briefly: one fork, 2 warm-up and 3 measured iterations of 300 ms. Arguments are those of JMH and
 * take precedence.
 *
 * <pre>
 * mvn -pl lavenderwick-benchmarks -am process-classes dependency:build-classpath -Dmdep.outputFile=target/classpath.txt
 * java -cp lavenderwick-benchmarks/target/classes:$(cat lavenderwick-benchmarks/target/classpath.txt) \
 *     org.lavenderwick.benchmarks.ShortBenchmarks -wi 3 -w 500ms -i 5 -r 500ms
 * </pre>
 */
public final class ShortBenchmarks {

    private static final TimeValue ITERATION = TimeValue.milliseconds(300);

    private ShortBenchmarks() {}

    /** Runs the benchmarks that the arguments select, or all. */
    public static void main(String[] args) throws RunnerException, CommandLineOptionException {
        CommandLineOptions given = new CommandLineOptions(args);
        OptionsBuilder options = new OptionsBuilder();
        options.parent(given);
        options.forks(given.getForkCount().orElse(1));
        options.warmupIterations(given.getWarmupIterations().orElse(2));
        options.warmupTime(given.getWarmupTime().orElse(ITERATION));
        options.measurementIterations(given.getMeasurementIterations().orElse(3));
        options.measurementTime(given.getMeasurementTime().orElse(ITERATION));
        new Runner(options.build()).run();
    }
}
