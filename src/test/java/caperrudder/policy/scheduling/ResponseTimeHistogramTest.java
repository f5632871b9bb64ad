package caperrudder.policy.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The share of response times within a multiple of the expected latency. */
class ResponseTimeHistogramTest {
    private final ResponseTimeHistogram histogram = new ResponseTimeHistogram();

    @Test
    void shareIsOneBeforeAnySample() {
        assertEquals(1, histogram.shareWithin(0));
    }

    @Test
    void shareGrowsWithTheMultiple() {
        for (int i = 0; i < 100; i++) {
            histogram.addSample(i % 2 == 0 ? 0.5 : 3);
        }
        assertTrue(histogram.shareWithin(0.2) < 0.1);
        assertEquals(0.5, histogram.shareWithin(1.5), 0.05);
        assertEquals(1, histogram.shareWithin(5), 1e-9);
    }

    @Test
    void olderSamplesDecay() {
        for (int i = 0; i < 100; i++) {
            histogram.addSample(3);
        }
        for (int i = 0; i < 300; i++) {
            histogram.addSample(0.5);
        }
        assertTrue(histogram.shareWithin(1) > 0.9);
    }
}
