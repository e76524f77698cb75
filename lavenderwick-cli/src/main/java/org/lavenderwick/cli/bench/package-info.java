/** Load on a local cluster: the demo, and measurements of policies under faults and floods. */
package org.lavenderwick.cli.bench;
