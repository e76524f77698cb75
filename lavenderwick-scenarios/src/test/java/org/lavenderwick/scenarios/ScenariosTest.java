package org.lavenderwick.scenarios;

import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs all features. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("features")
class ScenariosTest {}
