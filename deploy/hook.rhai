// An example of an operator's script. It may refuse a request or lower its top rung; it never picks servers.

// request: class, tenant, title, viewer, top, again. Give nothing to let it go on.
fn on_request(request) {
    if request.title == "closed-showroom" {
        return #{refuse: true, wait_ms: 500};
    }
    if request.class == "assembly-guide" {
        return #{top: 2};
    }
}

// outcome: id, outcome ("plays", "refused", "failed", "ended" or "moved").
fn on_outcome(outcome) { }
