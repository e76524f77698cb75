/** JMH benchmarks of the decisions on the path of a request. */
package org.lavenderwick.benchmarks;
