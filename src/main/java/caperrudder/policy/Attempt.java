package caperrudder.policy;

final class Attempt {
    final PendingRequest ask;
    final int number;
    final Endpoint server;
    double sentAt; // whole
    final double work;
    double stalled; // own stalls before it was sent, in all
    boolean placed; // at work: it takes a place under the bound and at its host
    boolean out = true;
    boolean neverRan;
    boolean unsent; // it never came whole to the host
    boolean overdue;

    Attempt(PendingRequest ask, Endpoint server, double sentAt, double work, double stalled) {
        this.ask = ask;
        this.number = ask.attempts.size();
        this.server = server;
        this.sentAt = sentAt;
        this.work = work;
        this.stalled = stalled;
    }
}
