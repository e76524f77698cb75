package org.lavenderwick.core.store;

/** The newest era in which the store is known to have responded. Thread-safe. */
public final class StoreEra {

    private long newest = EraRevision.FIRST_ERA;

    private StoreEra() {}

    /** Returns an instance that knows of no era but the first. */
    public static StoreEra create() {
        return new StoreEra();
    }

    /**
     * Records an era.
     *
     * @return false if it is earlier than the newest one, so that what was said in it no longer applies
     */
    public synchronized boolean observe(long era) {
        newest = Math.max(newest, era);
        return era == newest;
    }

    /** Returns the newest era that was observed. */
    public synchronized long newest() {
        return newest;
    }

    /**
     * Returns the key of the fleet entry that exists once a daemon has written in a later era. A write depends on its
     * absence, so that a write that was decided on in an earlier era cannot take effect, whatever revisions the entries
     * have by then.
     */
    public static String endKey(long era) {
        return "eras/" + era;
    }
}
