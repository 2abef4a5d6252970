package org.boragebarrow.decision.dispatch;

import java.util.ArrayList;
import java.util.List;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.allowance.AllowanceLedger;
import org.boragebarrow.model.ModelId;

/** Static functions that summarise this zone for its peer zones. */
final class ZoneSummaries {
    private ZoneSummaries() {}

    static ZoneSummary summarise(TargetTable targets, AllowanceLedger ledger, long nowNanos) {
        long freeTokens = 0;
        List<EngineView> available = new ArrayList<>();
        ImmutableSet.Builder<ModelId> models = ImmutableSet.builder();
        for (TargetView v : targets.all()) {
            if (v instanceof EngineView e && e.isReported() && e.isAvailable(nowNanos)) {
                available.add(e);
                freeTokens += e.freeTokens();
                models.addAll(e.models());
            }
        }
        double maxWaitSeconds = 0;
        for (ModelPool p : targets.modelPools()) {
            maxWaitSeconds = Math.max(maxWaitSeconds, Forecast.shortWaitSeconds(p, nowNanos));
        }
        return new ZoneSummary(
                ledger.demand(nowNanos), freeTokens, Gangs.capacity(available), maxWaitSeconds, models.build(), true);
    }
}
