/** The planners' sheet: services, ranks, database groups, endpoints and planned stops as a spreadsheet exports them. */
package org.lavenderwick.adapters.sheet;
