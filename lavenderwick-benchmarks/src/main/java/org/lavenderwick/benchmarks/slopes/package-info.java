/** Measures how bytes, processor time, memory and messages of control work grow with the size of the fleet. */
package org.lavenderwick.benchmarks.slopes;
