package org.lavenderwick.scenarios;

import io.cucumber.plugin.ConcurrentEventListener;
import io.cucumber.plugin.event.EventPublisher;
import io.cucumber.plugin.event.TestCaseFinished;

/** Prints one line for each scenario: outcome, duration and name. */
public final class ScenarioTimes implements ConcurrentEventListener {
    @Override
    public void setEventPublisher(EventPublisher publisher) {
        publisher.registerHandlerFor(
                TestCaseFinished.class,
                finished -> System.out.printf(
                        "scenario: %s in %d ms: %s%n",
                        finished.getResult().getStatus(),
                        finished.getResult().getDuration().toMillis(),
                        finished.getTestCase().getName()));
    }
}
