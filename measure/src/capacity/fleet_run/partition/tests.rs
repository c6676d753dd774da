use super::*;

#[test]
fn regions_apart_hear_only_themselves_and_one_the_control_machines() {
    let [here, there] = [0, 1].map(|region| Place {
        region,
        zone: 0,
        rack: 0,
    });
    let complete = Partition::default();
    assert!(complete.reaches(here, there) && complete.reaches_control(there));
    let apart = Partition {
        regions_apart: true,
    };
    assert!(apart.reaches(there, there) && !apart.reaches(here, there));
    assert!(apart.reaches_control(here) && !apart.reaches_control(there));
}
