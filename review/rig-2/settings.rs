//! Settings like those of a small deployment, as an operator's file has them and as the platform's file does.
#![allow(dead_code)]

/// A class: its name, its deadline and what its set-ups do when repeated.
pub struct Class {
    pub name: &'static str,
    pub slo: u32,
    pub deadline: u32,
    pub effect: &'static str,
    pub live: bool,
}

fn each<T: ToString>(classes: &[Class], of: impl Fn(&Class) -> T) -> String {
    classes.iter().map(|c| of(c).to_string()).collect::<Vec<_>>().join(", ")
}

/// The `[settings]` of an operator's file, with three cells.
pub fn toml(classes: &[Class]) -> String {
    let mut text = String::from(
        "[settings]\nInstances = 1\nSlotNo = 0\nLocality = 0\nPeriod = 10.0\nAzs = [\"dc\"]\nKinds = [\"box\"]\nDiscovery = \"pushed\"\n",
    );
    for c in classes {
        text += &format!(
            "[[settings.RequestClasses]]\nName = \"{}\"\nSlo = {}.0\nDeadline = {}.0\nEffect = \"{}\"\nImportance = 1.0\n",
            c.name, c.slo, c.deadline, c.effect
        );
    }
    text += &format!(
        "[settings.FamilyInfo]\nPlaces = 3\nRacks = 1\nPlacesByKind = [60]\nLadderKb = [300.0, 600.0, 1200.0]\nLadderWorth = [0.3, 0.7, 1.0]\nLinkUnitKb = 20000.0\nRackKb = 100000.0\nJoin = 0.3\nLive = [{}]\nClassTop = [{}]\nClassScale = [{}]\nFloorByClass = [{}]\nClassSeats = [{}]\nGuard = 1.0\nSee = 750.0\nReportsEvery = 3000.0\nStallCost = 6.0\nChangeCostsS = 0.5\n",
        each(classes, |c| c.live),
        each(classes, |_| 2),
        each(classes, |_| "1.0"),
        each(classes, |_| 0),
        each(classes, |_| 0),
    );
    text += "[settings.Limits]\nAttemptsCap = 4\nConnectTimeout = 250.0\nKeepalive = 30000.0\nRetryAfter = true\nMaxRetryAfter = 500.0\n[settings.Rules]\nStopSendingWithin = 500.0\nCold = 12000.0\nColdFrom = 0.4\nFall = 2000.0\nFallMultiple = 2.5\n[settings.Report]\nFields = [\"busy\", \"x1\"]\n";
    text
}

/// The platform's file.
pub fn json(classes: &[Class], board: &str, known: &str) -> String {
    let list: Vec<String> = classes
        .iter()
        .map(|c| {
            format!(
                r#"{{"Name":"{}","Slo":{}.0,"Deadline":{}.0,"Effect":"{}","KeyScope":"all","Window":5000.0,"Importance":1.0,"LateWorth":0.0,"Stream":true}}"#,
                c.name, c.slo, c.deadline, c.effect
            )
        })
        .collect();
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"board":"{board}","known":{known},"settings":{{"Azs":["dc"],"Kinds":["box"],"Discovery":"pushed","Instances":1,"SlotNo":0,"Locality":0,"Period":10.0,"Tenants":[{{"Name":"home","QuotaRps":50.0,"Share":1.0}}],"RequestClasses":[{}],"FamilyInfo":{{"Places":3,"Racks":1,"PlacesByKind":[60],"LadderKb":[300.0,600.0,1200.0],"LadderWorth":[0.3,0.7,1.0],"LinkUnitKb":20000.0,"RackKb":100000.0,"Join":0.3,"Live":[{}],"ClassTop":[{}],"ClassScale":[{}],"FloorByClass":[{}],"ClassSeats":[{}],"Guard":1.0,"See":750.0,"ReportsEvery":3000.0,"StallCost":6.0,"ChangeCostsS":0.5}},"Limits":{{"AttemptsCap":4,"ConnectTimeout":250.0,"Keepalive":30000.0,"RetryAfter":true,"MaxRetryAfter":500.0}},"Rules":{{"StopSendingWithin":500.0,"Cold":12000.0,"ColdFrom":0.4,"Fall":2000.0,"FallMultiple":2.5,"AnswerSlack":40.0}},"Report":{{"Fields":["busy","x1"],"Via":"inline"}}}}}}"#,
        list.join(","),
        each(classes, |c| c.live),
        each(classes, |_| 2),
        each(classes, |_| "1.0"),
        each(classes, |_| 0),
        each(classes, |_| 0),
    )
}
