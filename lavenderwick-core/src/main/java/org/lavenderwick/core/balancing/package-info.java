/**
 * Load balancing over the endpoints of a group: the quality of endpoints as measured from their responses, adaptive
 * concurrency limits, outlier ejection, and the placement of reads in the own or another failure domain.
 */
package org.lavenderwick.core.balancing;
