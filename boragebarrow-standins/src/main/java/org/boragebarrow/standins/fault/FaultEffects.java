package org.boragebarrow.standins.fault;

import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Counts how often each fault switch changed what a caller of a stand-in saw. Not thread-safe. */
public final class FaultEffects {
    private final Map<String, Long> counts = new TreeMap<>();

    /** Counts one effect of the switch with the name, which is in snake case. */
    public void count(String name) {
        counts.merge(name, 1L, Long::sum);
    }

    /** Returns the number of effects of each switch that had any. */
    public ObjectNode toJson() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        counts.forEach(json::put);
        return json;
    }
}
